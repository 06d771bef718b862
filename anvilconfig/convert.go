package anvilconfig

import (
	"strconv"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// converter converts the syntax tree of the YAML parser to nodes and resolves
// aliases.
type converter struct {
	start    position
	reporter *reporter
	anchors  map[string]*yamlNode
	// aliasedNodes is the number of nodes that expanding the aliases has added.
	aliasedNodes int
}

// convert returns the root node of the only YAML document of a file. It returns
// nil, after reporting a finding, if the file does not hold exactly one document.
func convert(file *ast.File, start position, r *reporter) *yamlNode {
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		pos := start
		if len(file.Docs) > 1 && file.Docs[1].Start != nil {
			pos = start.movedTo(file.Docs[1].Start.Position)
		}
		r.add(pos, "", "the document holds no configuration or more than one", "one YAML mapping")
		return nil
	}
	c := &converter{
		start:    start,
		reporter: r,
		anchors:  map[string]*yamlNode{},
	}
	return c.convertNode(file.Docs[0].Body, 0)
}

func (c *converter) convertNode(n ast.Node, depth int) *yamlNode {
	if depth > maxNesting {
		return c.reject(n, "nested too deeply", "at most "+strconv.Itoa(maxNesting)+" levels")
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		return c.convertMapping(n, depth)
	case *ast.SequenceNode:
		return c.convertSequence(n, depth)
	case *ast.AnchorNode:
		return c.convertAnchor(n, depth)
	case *ast.AliasNode:
		return c.resolveAlias(n)
	default:
		return c.convertScalar(n)
	}
}

func (c *converter) convertScalar(n ast.Node) *yamlNode {
	switch n := n.(type) {
	case *ast.StringNode:
		return c.newNode(n, kindString, n.Value)
	case *ast.LiteralNode:
		return c.newNode(n, kindString, n.Value.Value)
	case *ast.IntegerNode:
		return c.newNode(n, kindInteger, n.GetToken().Value)
	case *ast.FloatNode:
		return c.newNode(n, kindFloat, n.GetToken().Value)
	case *ast.InfinityNode, *ast.NanNode:
		return c.newNode(n, kindFloat, n.GetToken().Value)
	case *ast.BoolNode:
		return c.newNode(n, kindBool, n.GetToken().Value)
	case *ast.NullNode:
		return c.newNode(n, kindNull, "null")
	default:
		return c.reject(n, "this YAML construct is not supported", "mapping, list or plain value")
	}
}

func (c *converter) newNode(n ast.Node, k kind, text string) *yamlNode {
	return &yamlNode{
		kind:      k,
		text:      text,
		pos:       c.positionOf(n),
		nodeCount: 1,
	}
}

func (c *converter) convertMapping(n *ast.MappingNode, depth int) *yamlNode {
	result := c.newNode(n, kindMapping, "")
	result.entries = make([]mappingEntry, 0, len(n.Values))
	for _, v := range n.Values {
		key, isString := v.Key.(*ast.StringNode)
		if !isString {
			c.reject(v.Key, "the key is not a string", "string keys")
			continue
		}
		value := c.convertNode(v.Value, depth+1)
		result.nodeCount += value.nodeCount
		result.entries = append(result.entries, mappingEntry{
			key:   key.Value,
			pos:   c.positionOf(key),
			value: value,
		})
	}
	if !n.IsFlowStyle && len(result.entries) > 0 {
		// The parser reports the first colon as the position of a block mapping.
		result.pos = result.entries[0].pos
	}
	return result
}

func (c *converter) convertSequence(n *ast.SequenceNode, depth int) *yamlNode {
	result := c.newNode(n, kindSequence, "")
	result.items = make([]*yamlNode, 0, len(n.Values))
	for _, v := range n.Values {
		item := c.convertNode(v, depth+1)
		result.nodeCount += item.nodeCount
		result.items = append(result.items, item)
	}
	return result
}

// convertAnchor registers the anchor only after its value is converted, so that
// an alias cannot refer to a node that contains it.
func (c *converter) convertAnchor(n *ast.AnchorNode, depth int) *yamlNode {
	value := c.convertNode(n.Value, depth+1)
	c.anchors[n.Name.GetToken().Value] = value
	return value
}

// resolveAlias returns the node of the anchor, which is not copied. The number of
// nodes after expansion is limited all the same, because later steps visit every
// one of them.
func (c *converter) resolveAlias(n *ast.AliasNode) *yamlNode {
	value, found := c.anchors[n.Value.GetToken().Value]
	if !found {
		return c.reject(n, "the alias has no anchor before it", "alias of an earlier anchor")
	}
	if c.aliasedNodes+value.nodeCount > maxAliasedNodes {
		return c.reject(n, "the aliases expand to too many values",
			"at most "+strconv.Itoa(maxAliasedNodes)+" values")
	}
	c.aliasedNodes += value.nodeCount
	return value
}

// reject reports a finding and returns a node of kindInvalid.
func (c *converter) reject(n ast.Node, message, accepted string) *yamlNode {
	pos := c.positionOf(n)
	c.reporter.add(pos, "", message, accepted)
	return &yamlNode{
		pos:       pos,
		nodeCount: 1,
	}
}

func (c *converter) positionOf(n ast.Node) position {
	var t *token.Token
	if n != nil {
		t = n.GetToken()
	}
	if t == nil {
		return c.start
	}
	return c.start.movedTo(t.Position)
}

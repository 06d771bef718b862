package anvilconfig

import (
	"strconv"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// converter turns the parser's tree into nodes and resolves aliases.
type converter struct {
	start    position
	reporter *reporter
	anchors  map[string]*yamlNode
	// aliasedNodes counts the nodes that aliases stand for.
	aliasedNodes int
}

// convert returns the root of the only YAML document of a file, or nil after a
// report.
func convert(file *ast.File, start position, r *reporter) *yamlNode {
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		at := start
		if len(file.Docs) > 1 && file.Docs[1].Start != nil {
			at = start.movedTo(file.Docs[1].Start.Position)
		}
		r.add(at, "", "the document holds no configuration or more than one", "one YAML mapping")
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
		// The parser places a block mapping at its first colon.
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

// convertAnchor makes the name known after its value, so that no alias can lead back
// to itself.
func (c *converter) convertAnchor(n *ast.AnchorNode, depth int) *yamlNode {
	value := c.convertNode(n.Value, depth+1)
	c.anchors[n.Name.GetToken().Value] = value
	return value
}

// resolveAlias returns the node of the anchor itself. What is bounded is the number
// of nodes that the aliases stand for, because all later steps visit them.
func (c *converter) resolveAlias(n *ast.AliasNode) *yamlNode {
	value, known := c.anchors[n.Value.GetToken().Value]
	if !known {
		return c.reject(n, "the alias has no anchor before it", "alias of an earlier anchor")
	}
	if c.aliasedNodes+value.nodeCount > maxAliasedNodes {
		return c.reject(n, "the aliases stand for too many values",
			"at most "+strconv.Itoa(maxAliasedNodes)+" values")
	}
	c.aliasedNodes += value.nodeCount
	return value
}

func (c *converter) reject(n ast.Node, message, accepted string) *yamlNode {
	at := c.positionOf(n)
	c.reporter.add(at, "", message, accepted)
	return &yamlNode{
		pos:       at,
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

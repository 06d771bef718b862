package anvilconfig

import (
	"strconv"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// converter turns the parser's tree into nodes and resolves aliases.
type converter struct {
	start    place
	reporter *reporter
	anchors  map[string]*node
	// aliased counts the nodes that aliases stand for.
	aliased int
}

// convert returns the root of the only YAML document of a file, or nil after a
// report.
func convert(file *ast.File, start place, r *reporter) *node {
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		at := start
		if len(file.Docs) > 1 && file.Docs[1].Start != nil {
			at = start.moved(file.Docs[1].Start.Position)
		}
		r.add(at, "", "the document holds no configuration or more than one", "one YAML mapping")
		return nil
	}
	c := &converter{
		start:    start,
		reporter: r,
		anchors:  map[string]*node{},
	}
	return c.node(file.Docs[0].Body, 0)
}

func (c *converter) node(n ast.Node, depth int) *node {
	if depth > maxNesting {
		return c.refuse(n, "nested too deeply", "at most "+strconv.Itoa(maxNesting)+" levels")
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		return c.mapping(n, depth)
	case *ast.SequenceNode:
		return c.sequence(n, depth)
	case *ast.AnchorNode:
		return c.anchor(n, depth)
	case *ast.AliasNode:
		return c.alias(n)
	default:
		return c.scalar(n)
	}
}

func (c *converter) scalar(n ast.Node) *node {
	switch n := n.(type) {
	case *ast.StringNode:
		return c.leaf(n, kindString, n.Value)
	case *ast.LiteralNode:
		return c.leaf(n, kindString, n.Value.Value)
	case *ast.IntegerNode:
		return c.leaf(n, kindInteger, n.GetToken().Value)
	case *ast.FloatNode:
		return c.leaf(n, kindFloat, n.GetToken().Value)
	case *ast.InfinityNode, *ast.NanNode:
		return c.leaf(n, kindFloat, n.GetToken().Value)
	case *ast.BoolNode:
		return c.leaf(n, kindBool, n.GetToken().Value)
	case *ast.NullNode:
		return c.leaf(n, kindNull, "null")
	default:
		return c.refuse(n, "this YAML construct is not supported", "mapping, list or plain value")
	}
}

func (c *converter) leaf(n ast.Node, k kind, text string) *node {
	return &node{
		kind: k,
		text: text,
		at:   c.at(n),
		size: 1,
	}
}

func (c *converter) mapping(n *ast.MappingNode, depth int) *node {
	result := c.leaf(n, kindMapping, "")
	result.entries = make([]entry, 0, len(n.Values))
	for _, v := range n.Values {
		key, isString := v.Key.(*ast.StringNode)
		if !isString {
			c.refuse(v.Key, "the key is not a string", "string keys")
			continue
		}
		value := c.node(v.Value, depth+1)
		result.size += value.size
		result.entries = append(result.entries, entry{
			key:   key.Value,
			at:    c.at(key),
			value: value,
		})
	}
	if !n.IsFlowStyle && len(result.entries) > 0 {
		// The parser places a block mapping at its first colon.
		result.at = result.entries[0].at
	}
	return result
}

func (c *converter) sequence(n *ast.SequenceNode, depth int) *node {
	result := c.leaf(n, kindSequence, "")
	result.items = make([]*node, 0, len(n.Values))
	for _, v := range n.Values {
		item := c.node(v, depth+1)
		result.size += item.size
		result.items = append(result.items, item)
	}
	return result
}

// anchor makes the name known after its value, so that no alias can lead back
// to itself.
func (c *converter) anchor(n *ast.AnchorNode, depth int) *node {
	value := c.node(n.Value, depth+1)
	c.anchors[n.Name.GetToken().Value] = value
	return value
}

// alias returns the node of the anchor itself. What is bounded is the number
// of nodes that the aliases stand for, because all later steps visit them.
func (c *converter) alias(n *ast.AliasNode) *node {
	value, known := c.anchors[n.Value.GetToken().Value]
	if !known {
		return c.refuse(n, "the alias has no anchor before it", "alias of an earlier anchor")
	}
	if c.aliased+value.size > maxAliasedNodes {
		return c.refuse(n, "the aliases stand for too many values",
			"at most "+strconv.Itoa(maxAliasedNodes)+" values")
	}
	c.aliased += value.size
	return value
}

func (c *converter) refuse(n ast.Node, message, accepted string) *node {
	at := c.at(n)
	c.reporter.add(at, "", message, accepted)
	return &node{
		at:   at,
		size: 1,
	}
}

func (c *converter) at(n ast.Node) place {
	var t *token.Token
	if n != nil {
		t = n.GetToken()
	}
	if t == nil {
		return c.start
	}
	return c.start.moved(t.Position)
}

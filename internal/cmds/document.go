package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"geraniumstep.org/geraniumstep/pkg/config"
)

// parseDocuments decodes the objects in a YAML file, which may contain several
// documents. A YAML error contains the line and column.
func parseDocuments(path string, data []byte) ([]document, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, withPosition(path, err)
	}
	var docs []document
	for _, d := range file.Docs {
		if d.Body == nil {
			continue
		}
		doc, err := parseDocument(path, d.Body)
		if err != nil {
			return nil, err
		}
		docs = append(docs, doc)
	}
	if len(docs) == 0 {
		return nil, fmt.Errorf("%s contains no object; write kind: template or kind: workspace and the keys of the object", path)
	}
	return docs, nil
}

// templateDocument and workspaceDocument decode the two kinds of document.
type templateDocument struct {
	Kind                config.Kind `yaml:"kind"`
	config.TemplateSpec `yaml:",inline"`
}

type workspaceDocument struct {
	Kind                 config.Kind `yaml:"kind"`
	config.WorkspaceSpec `yaml:",inline"`
}

func parseDocument(path string, body ast.Node) (document, error) {
	var head struct {
		Kind config.Kind `yaml:"kind"`
	}
	if err := yaml.NodeToValue(body, &head); err != nil {
		return document{}, withPosition(path, err)
	}
	switch head.Kind {
	case config.KindTemplate:
		var d templateDocument
		if err := decodeStrict(body, &d); err != nil {
			return document{}, withPosition(path, err)
		}
		return newDocument(path, d.Kind, d.TemplateSpec)
	case config.KindWorkspace:
		var d workspaceDocument
		if err := decodeStrict(body, &d); err != nil {
			return document{}, withPosition(path, err)
		}
		return newDocument(path, d.Kind, d.WorkspaceSpec)
	}
	line := body.GetToken().Position.Line
	return document{}, fmt.Errorf("%s:%d: kind is %q; write kind: template or kind: workspace", path, line, head.Kind)
}

func decodeStrict(body ast.Node, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict())
	err := decoder.DecodeFromNode(body, into)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func newDocument(path string, kind config.Kind, spec any) (document, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return document{}, err
	}
	name, err := config.Check(kind, data, 0)
	if err != nil {
		return document{}, fmt.Errorf("%s: %w", path, err)
	}
	return document{kind: kind, name: name, spec: data}, nil
}

// withPosition adds the path to an error and, for a YAML error, the position and an
// excerpt of the source.
func withPosition(path string, err error) error {
	var e yaml.Error
	if errors.As(err, &e) {
		return fmt.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	return fmt.Errorf("%s: %w", path, err)
}

// Package ibisexample holds the sample documents of two deployments.
package ibisexample

import "embed"

//go:embed kandy/document.json kynnysmatto/document.json
var documents embed.FS

// Names lists the sample documents.
func Names() []string { return []string{"kynnysmatto", "kandy"} }

// Document returns the text of a sample document; it panics if the name is not one of Names.
func Document(name string) []byte {
	text, err := documents.ReadFile(name + "/document.json")
	if err != nil {
		panic("read sample document: " + err.Error())
	}
	return text
}

// Package examples holds two complete configuration documents, one for each
// deployment of the brief. The demo and the trials run them.
package examples

import _ "embed"

// Domaskra is the document of Dómaskrá's deployment.
//
//go:embed domaskra.hujson
var Domaskra []byte

// Paranacor is the document of Paranacor's deployment.
//
//go:embed paranacor.hujson
var Paranacor []byte

// Names lists the deployments in the order of the brief.
var Names = []string{"domaskra", "paranacor"}

// Document returns the document of a deployment, or nil.
func Document(name string) []byte {
	switch name {
	case "domaskra":
		return Domaskra
	case "paranacor":
		return Paranacor
	}
	return nil
}

// Package examples embeds the complete configuration documents of two deployments,
// Dómaskrá and Paranacor. The demo and the trials run them.
package examples

import _ "embed"

// Domaskra is the configuration document of the Dómaskrá deployment.
//
//go:embed domaskra.hujson
var Domaskra []byte

// Paranacor is the configuration document of the Paranacor deployment.
//
//go:embed paranacor.hujson
var Paranacor []byte

// Names lists the names of the deployments.
var Names = []string{"domaskra", "paranacor"}

// Document returns the document of the named deployment, or nil if there is none.
func Document(name string) []byte {
	switch name {
	case "domaskra":
		return Domaskra
	case "paranacor":
		return Paranacor
	}
	return nil
}

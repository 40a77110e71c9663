// Package standin is the root of the module of the same name.
package standin

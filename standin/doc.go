// Package standin is the root package of the module with the stand-ins: simulated
// servers that take the place of the platform, of model engines and of plain
// services in tests and demos.
package standin

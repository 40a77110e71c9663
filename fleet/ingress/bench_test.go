package ingress_test

import (
	"testing"
	"time"

	"ragwortshunt.example/fleet/ingress"
)

// BenchmarkChoose measures the choice among the connections of a crowd, which is made under the lock
// of the budget for each connection that takes the place of another.
func BenchmarkChoose(b *testing.B) {
	const crowd = 1150
	now := time.Unix(1000, 0)
	connections := make([]ingress.Connection, crowd)
	for i := range connections {
		connections[i] = ingress.Connection{Address: "192.0.2.1", Bytes: 80 << 10, Since: now.Add(-time.Duration(i) * time.Millisecond)}
	}
	b.ReportAllocs()
	for b.Loop() {
		ingress.Choose(now, connections)
	}
}

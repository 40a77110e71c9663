package message

// MaxLevels is the largest number of priority levels of a model.
const MaxLevels = 10

// Level is the priority level of a request: its rank, 0 to 9 with the most urgent first,
// plus one. The zero value means that the request has no level.
type Level uint8

// LevelOf returns the level with the given rank. Ranks beyond the last one share it.
func LevelOf(rank int) Level { return Level(min(max(rank, 0), MaxLevels-1) + 1) }

// Rank returns the rank of a level, or false if the request has no level.
func (l Level) Rank() (int, bool) {
	if l == 0 {
		return 0, false
	}
	return min(int(l)-1, MaxLevels-1), true
}

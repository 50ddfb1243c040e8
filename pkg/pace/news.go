package pace

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an incarnation of an upstream in the news of paces: the lower 40 bits of a hash.
type Key uint64

const keyBits = 40

// KeyOf returns the key of an incarnation.
func KeyOf(incarnation string) Key {
	return Key(xxhash.Sum64String(incarnation) & (1<<keyBits - 1))
}

// News is the pace of an incarnation as nodes tell each other.
type News struct {
	Key   Key
	Value float64
	// Rose reports whether the pace rose to the value.
	Rose bool
}

const (
	// newsBytes is the size of encoded news: the key and one byte for the pace.
	newsBytes = keyBits/8 + 1
	// roseBit is set in that byte if the pace rose. The others hold hundredths.
	roseBit = 0x80
	// MaxNews is how many news one message holds at most.
	MaxNews = 16
)

// Encode returns the bytes of up to MaxNews news.
func Encode(list []News) []byte {
	data := make([]byte, 0, newsBytes*MaxNews)
	for _, n := range list[:min(len(list), MaxNews)] {
		b := byte(max(min(n.Value, 1), 0)*100 + 0.5)
		if n.Rose {
			b |= roseBit
		}
		data = binary.BigEndian.AppendUint64(data, uint64(n.Key)<<(64-keyBits)|uint64(b)<<(64-keyBits-8))
		data = data[:len(data)-8+newsBytes]
	}
	return data
}

// Decode returns the news of a message. What is not complete is left out.
func Decode(data []byte) []News {
	var list []News
	for len(data) >= newsBytes && len(list) < MaxNews {
		var word [8]byte
		copy(word[:], data[:newsBytes])
		bits := binary.BigEndian.Uint64(word[:])
		b := byte(bits >> (64 - keyBits - 8))
		list = append(list, News{Key: Key(bits >> (64 - keyBits)), Value: min(float64(b&^roseBit)/100, 1), Rose: b&roseBit != 0})
		data = data[newsBytes:]
	}
	return list
}

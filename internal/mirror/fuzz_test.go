package mirror

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzPages applies whatever other VMs may answer, one message after the other, and
// answers from the copy.
func FuzzPages(f *testing.F) {
	f.Add([]byte(`{"r":[{"k":"a","d":"eA==","v":3}],"v":5,"e":1,"w":true,"o":-1}`), []byte(`{"r":[{"k":"a","v":2,"e":9}],"v":1,"e":2,"w":true,"k":[{"k":"a","v":9,"e":1},{"k":"b","v":1,"e":0,"x":true}],"km":-5}`))
	f.Add([]byte(`{"v":-1,"w":true,"r":[{"k":"","v":-9}]}`), []byte(`{"v":9223372036854775807,"e":-1,"km":9223372036854775807}`))
	packed := pageMessage{Rows: []rowMessage{{Key: "a", Value: routes(10), Version: 2}, {Key: "b", Version: 1, Removed: true}}, Version: 2}
	packed.pack()
	message, err := json.Marshal(packed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(message, []byte(`{"z":"AA==","v":3,"w":true}`))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		m := New(newRecorder())
		for _, b := range [][]byte{first, second, first} {
			var message pageMessage
			if json.Unmarshal(b, &message) != nil {
				continue
			}
			if message.unpack() != nil {
				continue
			}
			if message.Full {
				m.applyList(message.page())
			} else {
				m.applyChanges(message.page())
			}
			m.applyKept(message.kept(), message.Epoch, time.Duration(message.KeptMs)*time.Millisecond)
			_ = message.restored(time.Now())
			p, _ := m.list()
			_ = encodePage(p, true)
			_, _, _ = m.changesSince(m.Revision())
			m.releaseKept(time.Now().Add(time.Hour))
		}
	})
}

package coordination

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/fairshare"
)

// shareMessage is the work that an organisation has received, in microseconds, as sent between VMs.
type shareMessage struct {
	Organisation string `json:"o,omitempty"`
	Received     int64  `json:"w"`
}

// shares returns the work that this VM's requests have received from the service, by organisation.
func (l *LocalDispatcher) shares(service string) []shareMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.dispatcher.Shares(time.Now(), service, l.vm)
	list := make([]shareMessage, 0, len(known))
	for _, s := range known {
		list = append(list, shareMessage{s.Organisation, s.Received.Microseconds()})
	}
	return list
}

// addShares adds the work that another VM has counted of its own requests.
func (l *LocalDispatcher) addShares(service, from string, messages []shareMessage) {
	list := make([]fairshare.Share, 0, len(messages))
	for _, m := range messages {
		list = append(list, fairshare.Share{Organisation: m.Organisation, Received: microseconds(m.Received)})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatcher.AddShares(time.Now(), service, from, list)
}

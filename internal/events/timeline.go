package events

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

const timeFormat = "2006-01-02T15:04:05.000000Z"

// identity tells events apart. Sequence numbers start again when a process restarts.
type identity struct {
	host      string
	process   string
	sequence  uint64
	unixNanos int64
}

// Merge returns the events of all replies in one causal order: by Lamport clock, then process, then sequence number. An
// event that is in several replies appears once.
func Merge(replies []*wirev1.EventReply) []*wirev1.Event {
	var merged []*wirev1.Event
	seen := make(map[identity]bool)
	for _, reply := range replies {
		for _, event := range reply.GetEvents() {
			id := identity{event.GetHost(), event.GetProcess(), event.GetSequence(), event.GetUnixNanos()}
			if event == nil || seen[id] {
				continue
			}
			seen[id] = true
			merged = append(merged, event)
		}
	}
	slices.SortStableFunc(merged, compare)
	return merged
}

func compare(a, b *wirev1.Event) int {
	return cmp.Or(
		cmp.Compare(a.GetLamport(), b.GetLamport()),
		cmp.Compare(a.GetProcess(), b.GetProcess()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		// Two processes of one name, or one before and after a restart.
		cmp.Compare(a.GetHost(), b.GetHost()),
		cmp.Compare(a.GetUnixNanos(), b.GetUnixNanos()),
	)
}

// WriteText writes one line for each event: Lamport clock, time in UTC by the clock of the event's host, data centre,
// host and process, sequence number, kind, and the fields that are set.
func WriteText(w io.Writer, events []*wirev1.Event) error {
	buffer := bufio.NewWriter(w)
	for _, event := range events {
		fmt.Fprintf(buffer, "%8d %s %s #%d %s", event.GetLamport(), formatTime(event), quote(laneName(event)),
			event.GetSequence(), quote(event.GetKind()))
		for _, d := range details(event) {
			fmt.Fprintf(buffer, " %s=%s", quote(d.Name), quote(d.Value))
		}
		buffer.WriteByte('\n')
	}
	return buffer.Flush()
}

type detail struct{ Name, Value string }

// details lists what an event carries beside its origin and kind.
func details(event *wirev1.Event) []detail {
	var list []detail
	if request := event.GetRequest(); request != "" {
		list = append(list, detail{"request", request})
	}
	if upstream := event.GetUpstream(); upstream != "" {
		list = append(list, detail{"upstream", upstream})
	}
	if revision := event.GetConfigRevision(); revision != 0 {
		list = append(list, detail{"config_revision", strconv.FormatUint(revision, 10)})
	}
	for _, field := range event.GetFields() {
		list = append(list, detail{field.GetName(), field.GetValue()})
	}
	return list
}

func laneName(event *wirev1.Event) string {
	return event.GetDataCentre() + "/" + event.GetHost() + "/" + event.GetProcess()
}

func formatTime(event *wirev1.Event) string {
	return time.Unix(0, event.GetUnixNanos()).UTC().Format(timeFormat)
}

// quote puts a text in quotes if it would not stay one word of one line.
func quote(text string) string {
	special := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) || r == '"' || r == '=' }
	if text == "" || strings.ContainsFunc(text, special) {
		return strconv.Quote(text)
	}
	return text
}

package events

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

const (
	timeFormat      = "2006-01-02T15:04:05.000000Z"
	timeOfDayFormat = "15:04:05.000000"
	columnGap       = 2
)

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

// WriteText writes the processes that the events come from, a line of headings, and one line for each event in the order
// of events: time of day in UTC by the clock of the event's host, process, kind, and the fields that are set. The order is
// causal, so the clocks of two hosts may disagree with it.
func WriteText(w io.Writer, events []*wirev1.Event) error {
	buffer := bufio.NewWriter(w)
	if len(events) == 0 {
		buffer.WriteString("no events; processes keep only their newest events, and a restart loses them\n")
		return buffer.Flush()
	}
	names := writeProcesses(buffer, events)
	rows := tabwriter.NewWriter(buffer, 0, 1, columnGap, ' ', 0)
	fmt.Fprintln(rows, "time\tprocess\tevent\tdetails")
	for _, event := range events {
		fmt.Fprintf(rows, "%s\t%s\t%s\t%s\n", formatTimeOfDay(event), names[laneName(event)], quote(event.GetKind()),
			joinDetails(event))
	}
	if err := rows.Flush(); err != nil {
		return err
	}
	return buffer.Flush()
}

// writeProcesses writes where each process ran and on which days, and returns the shortest unambiguous name of each lane.
func writeProcesses(w io.Writer, events []*wirev1.Event) map[string]string {
	count := make(map[string]int)
	lanes := make(map[string]*wirev1.Event)
	var order []string
	for _, event := range events {
		lane := laneName(event)
		if lanes[lane] == nil {
			lanes[lane] = event
			order = append(order, lane)
			count[event.GetProcess()]++
		}
	}
	names := make(map[string]string, len(lanes))
	for _, lane := range order {
		event := lanes[lane]
		names[lane] = quote(event.GetProcess())
		if count[event.GetProcess()] > 1 {
			names[lane] = quote(lane)
		}
		fmt.Fprintf(w, "%s on host %s in data centre %s, first event %s\n", names[lane], quote(event.GetHost()),
			quote(event.GetDataCentre()), formatTime(event))
	}
	fmt.Fprintln(w)
	return names
}

func joinDetails(event *wirev1.Event) string {
	list := details(event)
	words := make([]string, len(list))
	for i, d := range list {
		words[i] = quote(d.Name) + "=" + quote(d.Value)
	}
	return strings.Join(words, " ")
}

type detail struct{ Name, Value string }

// details lists what an event carries beside its origin and kind.
func details(event *wirev1.Event) []detail {
	var list []detail
	if upstream := event.GetUpstream(); upstream != "" {
		list = append(list, detail{"upstream", upstream})
	}
	for _, field := range event.GetFields() {
		list = append(list, detail{field.GetName(), field.GetValue()})
	}
	if request := event.GetRequest(); request != "" {
		list = append(list, detail{"request", request})
	}
	if revision := event.GetConfigRevision(); revision != 0 {
		list = append(list, detail{"config_revision", strconv.FormatUint(revision, 10)})
	}
	return list
}

func laneName(event *wirev1.Event) string {
	return event.GetDataCentre() + "/" + event.GetHost() + "/" + event.GetProcess()
}

func formatTime(event *wirev1.Event) string {
	return time.Unix(0, event.GetUnixNanos()).UTC().Format(timeFormat)
}

func formatTimeOfDay(event *wirev1.Event) string {
	return time.Unix(0, event.GetUnixNanos()).UTC().Format(timeOfDayFormat)
}

// quote puts a text in quotes if it would not stay one word of one line.
func quote(text string) string {
	special := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) || r == '"' || r == '=' }
	if text == "" || strings.ContainsFunc(text, special) {
		return strconv.Quote(text)
	}
	return text
}

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
	revisionDetail  = "config_revision"
)

// eventID identifies an event. The sequence number alone does not, because it starts again when a process restarts.
type eventID struct {
	host      string
	process   string
	sequence  uint64
	unixNanos int64
}

// Merge returns the events of all replies in causal order, each event once. Events are ordered by Lamport clock. Events
// with equal Lamport clocks are from different processes and not causally related; they are ordered by the clocks of
// their hosts, which usually agree well enough to give the expected order.
func Merge(replies []*wirev1.EventReply) []*wirev1.Event {
	var merged []*wirev1.Event
	seen := make(map[eventID]bool)
	for _, reply := range replies {
		for _, event := range reply.GetEvents() {
			id := eventID{event.GetHost(), event.GetProcess(), event.GetSequence(), event.GetUnixNanos()}
			if event == nil || seen[id] {
				continue
			}
			seen[id] = true
			merged = append(merged, event)
		}
	}
	slices.SortStableFunc(merged, compareEvents)
	return merged
}

func compareEvents(a, b *wirev1.Event) int {
	return cmp.Or(
		cmp.Compare(a.GetLamport(), b.GetLamport()),
		cmp.Compare(a.GetUnixNanos(), b.GetUnixNanos()),
		cmp.Compare(a.GetProcess(), b.GetProcess()),
		cmp.Compare(a.GetSequence(), b.GetSequence()),
		// Processes on different hosts may have the same name, for example before and after a restart.
		cmp.Compare(a.GetHost(), b.GetHost()),
	)
}

// WriteText writes a list of the processes that recorded the events, a line of headings, and one line for each event, in the
// given order. A line has the time of day in UTC by the clock of the event's host, the process, the kind, and the fields
// that are set. The configuration revision is written only where it differs from the previous line of the same process.
// The times need not be ascending, because the order is causal and the clocks of two hosts may differ.
func WriteText(w io.Writer, events []*wirev1.Event) error {
	buffer := bufio.NewWriter(w)
	if len(events) == 0 {
		buffer.WriteString("no events; processes keep only their newest events, and a restart loses them\n")
		return buffer.Flush()
	}
	names := writeProcesses(buffer, events)
	rows := tabwriter.NewWriter(buffer, 0, 1, columnGap, ' ', 0)
	fmt.Fprintln(rows, "time\tprocess\tevent\tdetails")
	lastRevision := make(map[string]uint64) // configuration revision of the last event of each lane
	for _, event := range events {
		lane := laneName(event)
		list := details(event)
		if lastRevision[lane] == event.GetConfigRevision() {
			list = slices.DeleteFunc(list, func(d detail) bool { return d.Name == revisionDetail })
		}
		lastRevision[lane] = event.GetConfigRevision()
		fmt.Fprintf(rows, "%s\t%s\t%s\t%s\n", formatTimeOfDay(event), names[lane], quote(event.GetKind()), joinDetails(list))
	}
	if err := rows.Flush(); err != nil {
		return err
	}
	return buffer.Flush()
}

// writeProcesses writes the host, data centre and time of the first event of each process. This time includes the date, which
// the lines of the events do not show. The result is a display name for each lane: the name of the process or, if several
// lanes have the same process name, the name of the lane.
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

func joinDetails(list []detail) string {
	pairs := make([]string, len(list))
	for i, d := range list {
		pairs[i] = quote(d.Name) + "=" + quote(d.Value)
	}
	return strings.Join(pairs, " ")
}

// detail is a name and value in the last column of the timeline.
type detail struct{ Name, Value string }

// details returns the upstream, fields, request and configuration revision of an event.
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
		list = append(list, detail{revisionDetail, strconv.FormatUint(revision, 10)})
	}
	return list
}

// laneName returns the name that identifies a process among all processes.
func laneName(event *wirev1.Event) string {
	return event.GetDataCentre() + "/" + event.GetHost() + "/" + event.GetProcess()
}

func formatTime(event *wirev1.Event) string {
	return time.Unix(0, event.GetUnixNanos()).UTC().Format(timeFormat)
}

func formatTimeOfDay(event *wirev1.Event) string {
	return time.Unix(0, event.GetUnixNanos()).UTC().Format(timeOfDayFormat)
}

// quote quotes a text that is empty or contains white space, unprintable characters, quotes or "=".
func quote(text string) string {
	special := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) || r == '"' || r == '=' }
	if text == "" || strings.ContainsFunc(text, special) {
		return strconv.Quote(text)
	}
	return text
}

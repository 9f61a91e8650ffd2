package events

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Measures of the picture in pixels.
const (
	laneWidth  = 190
	rowHeight  = 22
	leftMargin = 300
	topMargin  = 60
)

//go:embed timeline.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageText))

type page struct {
	Width, Height int
	// Bottom is the end of the lanes.
	Top, Bottom int
	Lanes       []lane
	Links       []link
	Rows        []row
}

// lane is the vertical line of one process.
type lane struct {
	X          int
	DataCentre string
	Host       string
	Process    string
}

// link joins two consecutive events of one request on different lanes.
type link struct{ X1, Y1, X2, Y2 int }

type row struct {
	X, Y     int
	Lamport  uint64
	Time     string
	Lane     string
	Sequence uint64
	Kind     string
	Details  []detail
}

// WriteHTML writes a page without outside parts: a picture with one lane for each process and one row for each event, in
// the order given, and a table of the same events.
func WriteHTML(w io.Writer, events []*wirev1.Event) error {
	if err := pageTemplate.Execute(w, layout(events)); err != nil {
		return errors.Wrap(err, "write timeline page")
	}
	return nil
}

// layout places the events: lanes from left to right in the order of their first events, rows from top to bottom.
func layout(events []*wirev1.Event) page {
	p := page{Top: topMargin - rowHeight}
	positions := make(map[string]int)
	// previous is the row of the last event of each request.
	previous := make(map[string]row)
	for i, event := range events {
		name := laneName(event)
		x, known := positions[name]
		if !known {
			x = leftMargin + len(p.Lanes)*laneWidth
			positions[name] = x
			p.Lanes = append(p.Lanes, lane{x, event.GetDataCentre(), event.GetHost(), event.GetProcess()})
		}
		r := row{
			X:        x,
			Y:        topMargin + i*rowHeight,
			Lamport:  event.GetLamport(),
			Time:     formatTime(event),
			Lane:     name,
			Sequence: event.GetSequence(),
			Kind:     event.GetKind(),
			Details:  details(event),
		}
		p.Rows = append(p.Rows, r)
		if request := event.GetRequest(); request != "" {
			if before, ok := previous[request]; ok && before.X != r.X {
				p.Links = append(p.Links, link{before.X, before.Y, r.X, r.Y})
			}
			previous[request] = r
		}
	}
	p.Width = leftMargin + len(p.Lanes)*laneWidth
	p.Bottom = topMargin + len(events)*rowHeight
	p.Height = p.Bottom + rowHeight
	return p
}

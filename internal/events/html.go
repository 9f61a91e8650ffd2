package events

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Dimensions of the diagram in pixels.
const (
	laneWidth  = 190
	rowHeight  = 22
	leftMargin = 300
	topMargin  = 60
)

//go:embed timeline.html.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageTemplateText))

// page is the data of the template.
type page struct {
	Width, Height int
	// Top and Bottom are the Y coordinates of the ends of the lanes.
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

// link is a line between two consecutive events of one request that are on different lanes.
type link struct{ X1, Y1, X2, Y2 int }

// row is an event, both as a point of the diagram and as a row of the table.
type row struct {
	X, Y     int
	Lamport  uint64
	Time     string
	Lane     string
	Sequence uint64
	Kind     string
	Details  []detail
}

// WriteHTML writes a self-contained page: a diagram with one lane for each process and one row for each event, in the given
// order, and a table of the same events.
func WriteHTML(w io.Writer, events []*wirev1.Event) error {
	if err := pageTemplate.Execute(w, layout(events)); err != nil {
		return errors.Wrap(err, "write timeline page")
	}
	return nil
}

// layout computes the coordinates: lanes run from left to right in the order of their first events, rows from top to bottom.
func layout(events []*wirev1.Event) page {
	p := page{Top: topMargin - rowHeight}
	laneX := make(map[string]int)
	// lastRows holds the row of the last event of each request.
	lastRows := make(map[string]row)
	for i, event := range events {
		name := laneName(event)
		x, known := laneX[name]
		if !known {
			x = leftMargin + len(p.Lanes)*laneWidth
			laneX[name] = x
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
			if last, ok := lastRows[request]; ok && last.X != r.X {
				p.Links = append(p.Links, link{last.X, last.Y, r.X, r.Y})
			}
			lastRows[request] = r
		}
	}
	p.Width = leftMargin + len(p.Lanes)*laneWidth
	p.Bottom = topMargin + len(events)*rowHeight
	p.Height = p.Bottom + rowHeight
	return p
}

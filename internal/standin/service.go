package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
)

// ServiceConfig describes an emulated plain service.
type ServiceConfig struct {
	Slots int           // calls that run at once; others wait
	Time  time.Duration // of one call in its slot
}

// Service is an emulated plain service that takes orders.
type Service struct {
	*targetState
	config ServiceConfig
	slots  chan struct{}

	ordersMu sync.Mutex
	orders   map[string]int // executions by order
}

// OrderStatus is the service's answer about one order.
type OrderStatus struct {
	Order string `json:"order"`
	Count int    `json:"count"` // executions
}

// NewService returns a plain service whose calls are served by its Host, which
// listens on addr.
func NewService(addr string, config ServiceConfig) (*Service, error) {
	config.Slots = max(config.Slots, 1)
	s := &Service{
		targetState: newTargetState(),
		config:      config,
		slots:       make(chan struct{}, config.Slots),
		orders:      make(map[string]int),
	}
	app := newApp()
	app.Get("/health", s.health)
	app.Post("/orders", s.gate, s.place)
	app.Get("/orders/{id}", s.gate, s.status)
	app.Get("/runs", s.listRuns)
	host, err := newAppHost(addr, app)
	s.host = host
	return s, err
}

// place executes an order: it counts it and answers with the count. A caller
// that goes away does not undo it.
func (s *Service) place(ctx iris.Context) {
	body, err := ctx.GetBody()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	order, err := parseOrder(body)
	if err != nil {
		refuse(ctx, http.StatusBadRequest, err.Error())
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	fault := s.faults.ofCall(true, order)
	if fault == FaultRequestLost || !s.run(body, runOf(ctx.Request(), order)) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.config.Time)
	count := s.execute(order)
	if fault == FaultAnswerLost {
		panic(http.ErrAbortHandler)
	}
	ctx.StatusCode(http.StatusCreated)
	_ = ctx.JSON(OrderStatus{Order: order, Count: count})
}

func (s *Service) execute(order string) int {
	s.ordersMu.Lock()
	defer s.ordersMu.Unlock()
	s.orders[order]++
	return s.orders[order]
}

// Count returns how many times an order was executed.
func (s *Service) Count(order string) int {
	s.ordersMu.Lock()
	defer s.ordersMu.Unlock()
	return s.orders[order]
}

// status answers how many times an order was executed.
func (s *Service) status(ctx iris.Context) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	time.Sleep(s.config.Time)
	order := ctx.Params().Get("id")
	count := s.Count(order)
	if count == 0 {
		refuse(ctx, http.StatusNotFound, "order does not exist")
		return
	}
	_ = ctx.JSON(OrderStatus{Order: order, Count: count})
}

package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
)

// ServiceConfig describes an emulated plain service.
type ServiceConfig struct {
	Slots int           // maximum number of concurrent calls; others wait
	Time  time.Duration // duration of one call in its slot
}

// Service is an emulated plain service that executes orders.
type Service struct {
	*targetBase
	config ServiceConfig
	slots  chan struct{}

	ordersMu sync.Mutex
	orders   map[string]int // number of executions by order
}

// OrderStatus is the service's response to a call on one order.
type OrderStatus struct {
	Order string `json:"order"`
	Count int    `json:"count"` // executions
}

// NewService returns a plain service whose Host listens on addr.
func NewService(addr string, config ServiceConfig) (*Service, error) {
	config.Slots = max(config.Slots, 1)
	s := &Service{
		targetBase: newTargetBase(),
		config:     config,
		slots:      make(chan struct{}, config.Slots),
		orders:     make(map[string]int),
	}
	app := newApp()
	app.Get("/health", s.health)
	app.Post("/orders", s.admitCall, s.placeOrder)
	app.Get("/orders/{id}", s.admitCall, s.orderStatus)
	app.Get("/runs", s.listExecutions)
	host, err := newAppHost(addr, app)
	s.host = host
	return s, err
}

// placeOrder executes an order and responds with the number of its executions. The execution
// counts also when the caller closes the connection.
func (s *Service) placeOrder(ctx iris.Context) {
	body, err := ctx.GetBody()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	order, err := parseOrder(body)
	if err != nil {
		sendUntypedProblem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	fault := s.faults.callFault(true, order)
	if fault == FaultRequestLost || !s.recordExecution(body, newExecution(ctx.Request(), order)) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.config.Time)
	count := s.countExecution(order)
	if fault == FaultResponseLost {
		panic(http.ErrAbortHandler)
	}
	ctx.StatusCode(http.StatusCreated)
	_ = ctx.JSON(OrderStatus{Order: order, Count: count})
}

// countExecution counts an execution of order and returns the new count.
func (s *Service) countExecution(order string) int {
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

// orderStatus responds with the number of executions of an order.
func (s *Service) orderStatus(ctx iris.Context) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	time.Sleep(s.config.Time)
	order := ctx.Params().Get("id")
	count := s.Count(order)
	if count == 0 {
		sendUntypedProblem(ctx, http.StatusNotFound, "order does not exist")
		return
	}
	_ = ctx.JSON(OrderStatus{Order: order, Count: count})
}

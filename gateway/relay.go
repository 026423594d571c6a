package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

// queryOwner sends a query to the owner. It asks for a summary of the load with it while jobs are submitted.
func (g *Gateway) queryOwner(ctx context.Context, path string, into any) error {
	var ask *admission.Ask
	if queue, ok := g.loads.nextQueue(time.Now()); ok {
		ask = g.newSummaryRequest(queue)
	}
	return g.queryOwnerFor(ctx, path, ask, into)
}

// queryOwnerFor sends a query to the owner and asks for a summary of the load with it, unless ask is nil.
func (g *Gateway) queryOwnerFor(ctx context.Context, path string, ask *admission.Ask, into any) error {
	record, present := g.locator.Current()
	if !present {
		return ErrUnavailable
	}
	call, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	header, sentAt := http.Header{}, time.Now()
	if ask != nil {
		header.Set(admission.AskHeader, ask.Encode())
	}
	response, err := g.rpc.Call(call, http.MethodGet, "http://"+record.Address+path, header, nil)
	if err != nil {
		g.refreshOwner(ctx)
		return err
	}
	if ask != nil {
		g.receiveLoad(response, sentAt)
	}
	switch response.Status {
	case http.StatusOK:
		return response.Decode(into)
	case http.StatusNotFound:
		return ErrNotFound
	}
	g.refreshOwner(ctx)
	return ErrUnavailable
}

// relayToOwner sends a change to the owner, which stores it. Errors match ErrNotFound, ErrCancelled, ErrUnavailable or
// ErrUnknown.
func (g *Gateway) relayToOwner(ctx context.Context, path string, body any) error {
	record, present := g.locator.Current()
	if !present {
		return eris.Wrap(ErrUnavailable, "no owner")
	}
	response, err := g.rpc.Call(ctx, http.MethodPost, "http://"+record.Address+path, nil, body)
	if err != nil {
		g.refreshOwner(ctx)
		if errors.Is(err, rpc.ErrNotSent) {
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		return eris.Wrap(ErrUnknown, err.Error())
	}
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCancelled
	case http.StatusMisdirectedRequest:
		g.refreshOwner(ctx)
		return eris.Wrap(ErrUnavailable, "not the owner")
	case http.StatusServiceUnavailable:
		return eris.Wrap(ErrUnavailable, "the owner doesn't reach the store")
	}
	return eris.Wrapf(ErrUnknown, "status %d", response.Status)
}

// refreshOwner reads the owner again in the background, even if the request ends before.
func (g *Gateway) refreshOwner(ctx context.Context) {
	go g.locator.Refresh(context.WithoutCancel(ctx))
}

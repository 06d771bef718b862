package anvilcaller

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// Addresses returns the cached address answer while it may be used, and else
// asks the known nodes and the seeds for a new one, in this order. It returns
// Unreachable or TimedOut.
func (c *Client) Addresses(ctx context.Context) (anvilwire.AddressList, error) {
	c.mu.Lock()
	known := c.known
	fresh := len(known.Members) > 0 && time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return known, nil
	}
	fetch := c.fetches.DoChan("", func() (any, error) {
		return c.fetchAddresses()
	})
	select {
	case result := <-fetch:
		if result.Err != nil {
			return anvilwire.AddressList{}, result.Err
		}
		answer, _ := result.Val.(anvilwire.AddressList)
		return answer, nil
	case <-ctx.Done():
		return anvilwire.AddressList{}, TimedOut.Wrap(ctx.Err(), "ask for addresses")
	}
}

// fetchAddresses asks one node after the other. It runs under the client's
// context, because several requests may wait for it.
func (c *Client) fetchAddresses() (anvilwire.AddressList, error) {
	var last error
	for _, address := range c.sources() {
		answer, err := c.askAddresses(address)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.known = answer
		c.expires = time.Now().Add(answer.Lifetime)
		c.mu.Unlock()
		return answer, nil
	}
	return anvilwire.AddressList{}, Unreachable.Wrap(last, "ask for addresses: no node answered")
}

// sources returns the addresses to ask, each once.
func (c *Client) sources() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var some []netip.AddrPort
	for _, m := range c.known.Members {
		some = append(some, m.CallerAddress)
	}
	for _, s := range c.config.Seeds {
		if !slices.Contains(some, s) {
			some = append(some, s)
		}
	}
	return some
}

func (c *Client) askAddresses(address netip.AddrPort) (anvilwire.AddressList, error) {
	ctx, cancel := context.WithTimeout(c.base, c.config.AddressTimeout)
	defer cancel()
	query := url.Values{}
	if c.config.FailureDomain != "" {
		query.Set(anvilwire.ParameterFailureDomain, string(c.config.FailureDomain))
	}
	reply, err := c.exchange(ctx, address, &http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme:   "http",
			Host:     address.String(),
			Path:     anvilwire.PathAddresses,
			RawQuery: query.Encode(),
		},
		Header: make(http.Header),
	})
	if err != nil {
		return anvilwire.AddressList{}, err
	}
	if reply.status != http.StatusOK {
		return anvilwire.AddressList{}, BadReply.New("ask %s for addresses: HTTP status %d", address, reply.status)
	}
	answer, err := anvilwire.DecodeAddresses(reply.body)
	if err != nil {
		return anvilwire.AddressList{}, BadReply.Wrap(err, "ask %s for addresses", address)
	}
	if len(answer.Members) == 0 {
		return anvilwire.AddressList{}, Unreachable.New("ask %s for addresses: it names no node", address)
	}
	return answer, nil
}

// expire makes the next request ask for addresses.
func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// drop removes a node from the cached answer, so that later requests do not
// try it before the next answer.
func (c *Client) drop(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.Members = slices.DeleteFunc(slices.Clone(c.known.Members), func(m anvilmodel.Member) bool {
		return m.CallerAddress == address
	})
}

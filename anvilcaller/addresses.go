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

// Addresses returns the cached address list until its lifetime ends. Otherwise
// it fetches a new list from the first node that answers, trying the nodes of
// the old list before the seeds. It returns Unreachable or TimedOut.
func (c *Client) Addresses(ctx context.Context) (anvilwire.AddressList, error) {
	c.mu.Lock()
	cached := c.addresses
	fresh := len(cached.Members) > 0 && time.Now().Before(c.addressesExpireAt)
	c.mu.Unlock()
	if fresh {
		return cached, nil
	}
	fetched := c.addressFetches.DoChan("", func() (any, error) {
		return c.fetchAddresses()
	})
	select {
	case result := <-fetched:
		if result.Err != nil {
			return anvilwire.AddressList{}, result.Err
		}
		list, _ := result.Val.(anvilwire.AddressList)
		return list, nil
	case <-ctx.Done():
		return anvilwire.AddressList{}, TimedOut.Wrap(ctx.Err(), "fetch addresses")
	}
}

// fetchAddresses tries the nodes one after the other. It uses the client's
// context rather than that of a request, because several requests may share the
// result.
func (c *Client) fetchAddresses() (anvilwire.AddressList, error) {
	var lastErr error
	for _, address := range c.addressSources() {
		list, err := c.fetchAddressesFrom(address)
		if err != nil {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.addresses = list
		c.addressesExpireAt = time.Now().Add(list.Lifetime)
		c.mu.Unlock()
		return list, nil
	}
	return anvilwire.AddressList{}, Unreachable.Wrap(lastErr, "fetch addresses: no node answered")
}

// addressSources returns the nodes of the cached list and then the seeds, without
// duplicates.
func (c *Client) addressSources() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sources []netip.AddrPort
	for _, m := range c.addresses.Members {
		sources = append(sources, m.CallerAddress)
	}
	for _, s := range c.config.Seeds {
		if !slices.Contains(sources, s) {
			sources = append(sources, s)
		}
	}
	return sources
}

func (c *Client) fetchAddressesFrom(address netip.AddrPort) (anvilwire.AddressList, error) {
	ctx, cancel := context.WithTimeout(c.baseContext, c.config.AddressTimeout)
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
		return anvilwire.AddressList{}, BadReply.New("fetch addresses from %s: HTTP status %d", address, reply.status)
	}
	list, err := anvilwire.DecodeAddresses(reply.body)
	if err != nil {
		return anvilwire.AddressList{}, BadReply.Wrap(err, "fetch addresses from %s", address)
	}
	if len(list.Members) == 0 {
		return anvilwire.AddressList{}, Unreachable.New("fetch addresses from %s: address list is empty", address)
	}
	return list, nil
}

// expireAddresses makes the next request fetch a new address list.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressesExpireAt = time.Time{}
}

// removeNode removes a node from the cached address list, so that requests do not
// use it until the list is fetched again.
func (c *Client) removeNode(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses.Members = slices.DeleteFunc(slices.Clone(c.addresses.Members), func(m anvilmodel.Member) bool {
		return m.CallerAddress == address
	})
}

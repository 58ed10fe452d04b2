package service_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"waxwingwall/io/endpoint"
	"waxwingwall/io/service"
)

// TestNoStatus guards against an answer whose status is none of HTTP and that is taken for one, or whose
// body is: as the first or a later one on its connection.
func TestNoStatus(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n" + `{"id":"1","body":"placed"}`
	for _, status := range []string{"000", "001", "099", "+20", "-10", " 200", "2 00", "1e2", "20", "2000", "", "101", "199", "600", "999"} {
		for framing, rest := range map[string]string{
			"length":     fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole), whole),
			"chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(whole), whole),
			"connection": "\r\n" + whole,
			"own body":   strings.TrimPrefix(whole, "HTTP/1.1 200 OK\r\n"),
		} {
			for _, later := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, later %t", status, framing, later), func(t *testing.T) {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					defer l.Close()
					bad := "HTTP/1.1 " + status + " Odd\r\n" + rest
					texts := []string{bad}
					if later {
						texts = []string{whole, bad}
					}
					go answerAll(l, texts)
					c, stop := service.New()
					defer stop()
					for i := range texts {
						a, err := c.Do(context.Background(), service.Call{
							Address:    netip.MustParseAddrPort(l.Addr().String()),
							Attempt:    "1",
							Idempotent: true,
						})
						if i < len(texts)-1 {
							if err != nil {
								t.Fatal(err)
							}
							continue
						}
						var failure *endpoint.Error
						if a != (service.Answer{}) || !errors.As(err, &failure) || failure.Failure == endpoint.Declined || failure.Status != 0 {
							t.Errorf("got %+v, %v", a, err)
						}
					}
				})
			}
		}
	}
}

// answerAll answers the requests of each connection with some texts, in order.
func answerAll(l net.Listener, texts []string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for _, text := range texts {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				if _, err := io.WriteString(c, text); err != nil {
					return
				}
			}
		}()
	}
}

// TestNoStatusConfirmsNothing guards against a cut answer that counts as whole because its service
// answers the question whether it lives with a status that is none of HTTP.
func TestNoStatusConfirmsNothing(t *testing.T) {
	for _, status := range []string{"404", "000", "001", "+20", " 200", "101", "199", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						req, err := http.ReadRequest(bufio.NewReader(c))
						if err != nil {
							return
						}
						text := "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n"
						if req.Method == http.MethodPost {
							text = "HTTP/1.1 201 Created\r\n\r\npla"
						}
						_, _ = io.WriteString(c, text)
					}()
				}
			}()
			c, stop := service.New()
			defer stop()
			a, err := c.Do(context.Background(), service.Call{
				Address: netip.MustParseAddrPort(l.Addr().String()),
				Attempt: "1",
			})
			if sound := status == "404"; sound != (err == nil) {
				t.Errorf("%+v, %v", a, err)
			}
		})
	}
}

package code

import "fmt"

// Problem is the body of a response to a refused or failed request: a problem
// document of RFC 9457 with the numbered code and its outcome.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Code    Code   `json:"code"`
	Outcome string `json:"outcome"`
}

// ProblemOf describes an error that carries a code.
func ProblemOf(err error) Problem {
	c := Of(err)
	return Problem{
		Type: fmt.Sprintf("urn:citronscale:code:%d", c), Title: c.Name(), Status: c.Status(),
		Detail: err.Error(), Code: c, Outcome: c.Outcome().String(),
	}
}

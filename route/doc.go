// Package route holds the routes that an entry host serves: which service a
// request goes to, whether it may be repeated, how long it may take and which
// team may send it.
//
// The relay package looks up every request in the Table in force. A Table is
// immutable and safe for concurrent use. Holder swaps whole tables and knows
// how long ago the newest one was confirmed; it is safe for concurrent use.
package route

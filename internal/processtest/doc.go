// Package processtest tests entry daemons as processes of their own against
// the stand-ins of platform, engines and plain services, which run inside the
// test and record what truly ran.
package processtest

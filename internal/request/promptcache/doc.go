// Package promptcache models which beginnings of prompts each engine still has in its memory. It does
// no I/O: what it knows comes from the requests that were sent to engines and from the roster.
//
// An engine reads the parts of a prompt in order and keeps them for later requests of the same model. A
// part is not read again if all parts before it are cached too. Running requests and cached parts share
// the engine's memory; the least recently used parts are evicted first. A load of weights discards the
// parts of the model, and a restart discards all.
//
// Load pattern: the 8 or 16 items of a group share about 1,000 tokens and are sent within a fraction of a
// second; groups of one subject share a part, also in later steps; each engine loads weights every few
// seconds. A wrong belief costs one reading, after which the part is cached as believed.
package promptcache

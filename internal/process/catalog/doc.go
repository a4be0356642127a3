// Package catalog is the state that the control processes replicate: the
// configuration in force, the availability zones that are out, the weight
// versions that trainers named, the founders of the store group, the store
// hosts that leave, the leader's office and the usage windows that are closed.
//
// Apply is deterministic: every replica that applies the same commands holds
// the same state.
package catalog

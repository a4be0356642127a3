// Package catalog is the state that the control processes replicate: the current
// configuration, the availability zones that are out of service, the weight versions that
// trainers published, the initial voters of the store group, the store hosts that are
// being retired, the holder of the leadership and the closed usage windows.
//
// Apply is deterministic: replicas that apply the same commands have the same state.
package catalog

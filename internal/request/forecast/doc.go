// Package forecast decides which groups of the open batches can be complete in time, and in which order the groups
// are served if not all can. It does no I/O.
//
// Load pattern: all trainers submit a step at the same moment, every few seconds, with more items than there are
// slots. One item in twelve takes five times as long as the others. An engine runs some of the models. A third of the
// engines may be reclaimed, or load weights for a second. A group has its full value if it is complete by its due
// time, a smaller one for some seconds more, and none after that.
//
// Capacity is counted as a fluid: the slots of the engines that serve the same models form a pool, which offers an amount of
// engine time until each point in time, less what its running items still take. A set of groups can be complete if for each due
// time the groups due until then fit, which is the criterion for the earliest due date first. Where all groups
// fit in the order that the queue has anyway, that order stays. Otherwise groups are accepted one after the other, of the flow with the least
// service first and the least work first within a batch, as long as they fit beside those accepted before. Accepted groups
// run first, in the order of the queue, so that their long items still start first.
//
// Rejected alternatives: simulating the schedule item by item, which takes ten times as long, with estimates of
// items that are off by half on average; and serving flows in turn, item by item, which shares capacity but
// completes groups late, one after another, and starts long items late.
package forecast

module admitter_change

/*
 * The change of the admitter of one shard: instances of one region, one pool of slots.
 *
 * An instance admits work if it is the first of those it sees. It may use all slots only if its view
 * of the region is whole, it trusts its view, and the work that was in flight when it took over has
 * ended; otherwise it uses its fair share, here one slot. A view lags: a cut, a pause or a death is
 * noticed at any later moment or never. The slots in use at the backend servers then stay within
 * the slots, and a fair share for each other instance and for each restart.
 *
 * docs/model/admitter-change.md maps the steps to classes.
 */

open util/ordering[Instance] as rank

-- The order of rank stands for the rendezvous order of the shard: the first is the first choice.
sig Instance {
  -- those that it counts as live, without itself
  var sees: set Instance,
  -- those whose process it knows to have ended
  var gone: set Instance,
  -- those it received heartbeats from since it woke or started
  var heard: set Instance,
  -- the work that this run sent to the backend servers and that has not ended
  var counted: set Request,
  -- the work of others that was in flight when it took over
  var awaits: set Request
}

sig Slot {}
sig Request {}
sig Restart {}

var sig Running in Instance {}
var sig Paused in Instance {}
-- woke or started, and has not received heartbeats from a majority of those it sees
var sig Distrusting in Instance {}
-- may use all slots
var sig Widened in Instance {}
-- requests at the backend servers, also those of runs that ended
var sig Busy in Request {}
var sig Used in Restart {}
one sig Network { var cut: Instance -> Instance }

-- Present in mutants only: the guard that it names is removed.
lone sig WithoutFairShare {}
lone sig WithoutWidening {}
lone sig WithoutDistrust {}

pred whole[i: Instance] {
  i.sees + i.gone + i = Instance
  i not in Distrusting or some WithoutDistrust
}

pred first[i: Instance] { no rank/prevs[i] & i.sees }

pred mayTakeAll[i: Instance] { first[i] and whole[i] }

pred awake[i: Instance] { i in Running - Paused }

pred reachable[i, j: Instance] { i -> j not in Network.cut }

pred init {
  Running = Instance
  no Paused + Distrusting
  no Busy and no counted and no awaits and no Used and no gone and no Network.cut
  all i: Instance | i.sees = Instance - i and i.heard = Instance - i
  Widened = rank/first
}

-- What every step does to the work awaited and to the leave to use all slots.
pred follow {
  all i: Instance {
    i.awaits' = (after mayTakeAll[i] implies i.awaits & Busy' else Busy' - i.counted')
    i in Widened' implies after mayTakeAll[i]
  }
}

pred sameViews { sees' = sees and gone' = gone and heard' = heard and Distrusting' = Distrusting }
pred sameWork { counted' = counted and Busy' = Busy }
pred sameProcesses { Running' = Running and Paused' = Paused and Used' = Used }
pred sameLeave { Widened' = { i: Widened | after mayTakeAll[i] } }
pred sameNetwork { Network.cut' = Network.cut }

pred admit[i: Instance, r: Request] {
  awake[i] and first[i]
  r not in Busy
  (i in Widened or some WithoutFairShare)
    implies #(i.counted) < #Slot
    else no i.counted
  counted' = counted + i -> r
  Busy' = Busy + r
  sameViews and sameProcesses and sameLeave and sameNetwork
}

-- Also what a deadline does: work ends whether or not its admitter is there to see it.
pred end[r: Request] {
  r in Busy
  Busy' = Busy - r
  counted' = counted - Instance -> r
  sameViews and sameProcesses and sameLeave and sameNetwork
}

pred widen[i: Instance] {
  awake[i] and mayTakeAll[i] and i not in Widened
  no i.awaits or some WithoutWidening
  Widened' = Widened + i
  sameViews and sameWork and sameProcesses and sameNetwork
}

-- Inactivity, with or without a cause: i counts j as dead, but it may be at work.
pred miss[i, j: Instance] {
  awake[i] and j in i.sees
  sees' = sees - i -> j
  gone' = gone and heard' = heard - i -> j and Distrusting' = Distrusting
  sameWork and sameProcesses and sameLeave and sameNetwork
}

-- A refused connection: the process of j has ended.
pred refuse[i, j: Instance] {
  awake[i] and j not in Running and reachable[i, j] and j not in i.gone
  sees' = sees - i -> j
  gone' = gone + i -> j
  heard' = heard - i -> j and Distrusting' = Distrusting
  sameWork and sameProcesses and sameLeave and sameNetwork
}

-- Heartbeats go both ways on one connection.
pred hear[i, j: Instance] {
  awake[i] and awake[j] and reachable[i, j] and i != j
  let pair = i -> j + j -> i {
    sees' = sees + pair
    gone' = gone - pair
    heard' = heard + pair
  }
  Distrusting' = { k: Distrusting | not (mul[2, #(k.heard')] > #(k.sees')) }
  sameWork and sameProcesses and sameLeave and sameNetwork
}

pred pause[i: Instance] {
  awake[i]
  Paused' = Paused + i and Running' = Running and Used' = Used
  sameViews and sameWork and sameLeave and sameNetwork
}

pred wake[i: Instance] {
  i in Paused
  Paused' = Paused - i and Running' = Running and Used' = Used
  Distrusting' = Distrusting + i
  heard' = heard - i -> Instance
  sees' = sees and gone' = gone
  sameWork and sameLeave and sameNetwork
}

pred kill[i: Instance] {
  i in Running
  Running' = Running - i and Paused' = Paused - i and Used' = Used
  sameViews and sameWork and sameLeave and sameNetwork
}

pred restart[i: Instance, u: Restart] {
  i not in Running and u not in Used
  Running' = Running + i and Paused' = Paused and Used' = Used + u
  sees' = sees - i -> Instance and gone' = gone - i -> Instance
  heard' = heard - i -> Instance
  Distrusting' = Distrusting + i
  counted' = counted - i -> Request and Busy' = Busy
  sameLeave and sameNetwork
}

pred cutOff[i, j: Instance] {
  i != j and reachable[i, j]
  Network.cut' = Network.cut + i -> j + j -> i
  sameViews and sameWork and sameProcesses and sameLeave
}

pred heal[i, j: Instance] {
  i != j and not reachable[i, j]
  Network.cut' = Network.cut - i -> j - j -> i
  sameViews and sameWork and sameProcesses and sameLeave
}

pred stutter {
  sameViews and sameWork and sameProcesses and sameLeave and sameNetwork
}

fact traces {
  init
  always {
    follow
    stutter
      or (some i: Instance, r: Request | admit[i, r])
      or (some r: Request | end[r])
      or (some i: Instance | widen[i] or pause[i] or wake[i] or kill[i])
      or (some i, j: Instance |
            miss[i, j] or refuse[i, j] or hear[i, j] or cutOff[i, j] or heal[i, j])
      or (some i: Instance, u: Restart | restart[i, u])
  }
}

pred guarded { no WithoutFairShare + WithoutWidening + WithoutDistrust }

-- The slots, and a fair share of one slot for each other instance and each restart.
pred withinBound { #Busy <= plus[#Slot, plus[minus[#Instance, 1], #Used]] }

assert bounded { guarded implies always withinBound }

assert oneUsesAll { guarded implies always lone i: Widened | awake[i] }

-- One that woke does not use all slots before heartbeats of a majority were received.
assert wokenIsModest { guarded implies always no Distrusting & Widened }

check bounded for exactly 2 Instance, exactly 2 Slot, 5 Request, 1 Restart, 8 steps expect 0
check oneUsesAll for exactly 2 Instance, exactly 2 Slot, 2 Request, 1 Restart, 8 steps expect 0
check wokenIsModest for exactly 2 Instance, exactly 2 Slot, 2 Request, 1 Restart, 8 steps expect 0

-- Two admitters at once, and slots over their number within the bound: the interesting state.
run twoAdmitters {
  guarded
  eventually (#Busy > #Slot and some disj i, j: Instance |
    awake[i] and awake[j] and first[i] and first[j] and some i.counted and some j.counted)
} for exactly 2 Instance, exactly 2 Slot, 5 Request, 0 Restart, 8 steps expect 1

-- An admitter dies, the next takes over with a fair share, and widens to all slots in the end.
run takeOver {
  guarded
  eventually (some i: Instance - rank/first | i in Widened and #(i.counted) = #Slot)
} for exactly 2 Instance, exactly 2 Slot, 5 Request, 0 Restart, 8 steps expect 1

-- A paused admitter wakes, distrusts its view, and uses all slots again after its heartbeats were received.
run wakeAndReturn {
  guarded
  eventually (rank/first in Distrusting and eventually rank/first in Widened)
} for exactly 2 Instance, exactly 2 Slot, 3 Request, 0 Restart, 8 steps expect 1

-- Mutant: an instance that does not see the whole region takes all slots.
run boundPassedWithoutFairShare {
  no WithoutWidening + WithoutDistrust
  some WithoutFairShare
  eventually not withinBound
} for exactly 2 Instance, exactly 2 Slot, 5 Request, 0 Restart, 8 steps expect 1

-- Mutant: an instance that takes over does not wait for the work that was in flight.
run boundPassedWithoutWidening {
  no WithoutFairShare + WithoutDistrust
  some WithoutWidening
  eventually not withinBound
} for exactly 2 Instance, exactly 2 Slot, 5 Request, 0 Restart, 8 steps expect 1

-- Mutant: an instance that wakes trusts the view that it fell asleep with.
run wokenTakesAllWithoutDistrust {
  no WithoutFairShare + WithoutWidening
  some WithoutDistrust
  eventually some Distrusting & Widened
} for exactly 2 Instance, exactly 2 Slot, 2 Request, 0 Restart, 8 steps expect 1

module cold_owner

/*
 * Who sends to one cold backend server, where the views of the instances differ.
 *
 * The first in rank order of those that an instance sees owns the server. An instance that became
 * the owner by a change of its view waits for one step, the time to settle, before it sends. All
 * instances step at once, and a view lags behind the network by a step at most. Of the instances
 * that reach each other one sends at most, so that no more send than there are parts of the network
 * that are cut off from each other: three in the tolerated faults.
 *
 * docs/model/cold-owner.md maps the steps to classes.
 */

open util/ordering[Instance] as rank

sig Part {}

-- The order of rank stands for the rendezvous order of the server.
sig Instance {
  var sees: set Instance,
  var part: one Part
}

var sig Running in Instance {}
-- who took itself for the owner when it last looked, in this run
var sig Owner in Instance {}
-- who has had a request for the server since its view changed last, and looks
var sig Looking in Instance {}

-- Present in mutants only: the guard that it names is removed.
lone sig WithoutSettling {}
-- Present where the code's own way is followed: one that has no request does not look.
lone sig LooksAtRequests {}

pred reach[i, j: Instance] { i.part = j.part and i + j in Running }

pred first[i: Instance] { i in Running and no rank/prevs[i] & i.sees }

pred sends[i: Instance] {
  i in Looking and first[i]
  some WithoutSettling or i in Owner
}

pred views[i: Instance] {
  all j: Instance - i {
    (reach[i, j] and after reach[i, j]) implies j in i.sees'
    (not reach[i, j] and not after reach[i, j]) implies j not in i.sees'
  }
  i not in i.sees'
  i not in Running' implies no i.sees'
}

-- One that looks knows afterwards whether it owns; one that does not keeps what it knew.
pred looks {
  Owner' = { i: Running & Running' | i in Looking implies first[i] else i in Owner }
  Looking' in Running'
  no LooksAtRequests implies Looking' = Running'
}

fact traces {
  Running = Instance
  one Instance.part
  all i: Instance | i.sees = Instance - i
  Owner = rank/first
  Looking in Running
  no LooksAtRequests implies Looking = Running
  always {
    all i: Instance | views[i]
    looks
  }
}

fun senders[]: set Instance { { i: Instance | sends[i] } }

pred guarded { no WithoutSettling }

-- The network is cut or heals as a whole, and not in two steps in a row.
pred calm {
  always {
    part' = part or one Instance.part or one Instance.part'
    part' != part implies after part' = part
  }
}

pred oneInAPart {
  all disj i, j: senders[] | i.part = j.part implies before i.part != j.part
}

-- Two send in one part only while a cut heals, each of them the owner of its side before.
assert noTwoInAPart { (guarded and no LooksAtRequests) implies always oneInAPart }

-- The same where one that has no request for the server does not notice what it owns.
assert noTwoInAPartOfThoseAsked { (guarded and some LooksAtRequests) implies always oneInAPart }

assert threeAtMost { (guarded and calm) implies always Instance not in senders[] }

check noTwoInAPart for exactly 3 Instance, 3 Part, 7..7 steps expect 0
check noTwoInAPartOfThoseAsked for exactly 3 Instance, 3 Part, 7..7 steps expect 0
check threeAtMost for exactly 4 Instance, exactly 3 Part, 7..7 steps expect 0

-- Each side of a cut has an owner that sends.
run threeSend {
  guarded and calm
  eventually #(senders[]) = 3
} for exactly 4 Instance, exactly 3 Part, 7..7 steps expect 1

-- The server is not left alone: the next in rank sends after the owner has ended.
run handedOn {
  guarded and calm and one Part
  eventually (rank/first not in Running and rank/first.next in senders[])
} for exactly 3 Instance, 1 Part, 7..7 steps expect 1

-- Mutant: a new owner sends before the owner before it has been notified.
run twoInAPartWithoutSettling {
  some WithoutSettling and no LooksAtRequests
  eventually not oneInAPart
} for exactly 3 Instance, 3 Part, 7..7 steps expect 1

-- Beyond what is tolerated: four parts have four owners.
run fourPartsPass {
  guarded and calm
  eventually Instance in senders[]
} for exactly 4 Instance, exactly 4 Part, 7..7 steps expect 1

-- Beyond what is tolerated: a network of three parts that changes in each step.
run restlessNetworkPasses {
  guarded
  eventually Instance in senders[]
} for exactly 4 Instance, exactly 3 Part, 8..8 steps expect 1

/*
 * One availability zone in which some instances watch the store and the others read from them.
 *
 * A step is a round: each watching instance has queried the store, and each other instance its
 * watchers. Any instance may become unresponsive or lose the store in any round.
 * docs/model/store-relay.md maps the steps to the classes that do them.
 */
module store_relay

open util/ordering[Revision]

sig Revision {}

sig Instance {
  var has: one Revision,
  -- The watchers that it has drawn; they may differ from those that others draw.
  var drawn: set Instance
}

one sig Store { var head: one Revision }

-- Those that watch by themselves, and of these those that an answer of the store has reached since.
var sig Watching, Caught in Instance {}
-- Those that the store serves, and those whose answers reach their zone, in this round.
var sig Online, Talking in Instance {}

-- Mutants: each flag removes one guard.
abstract sig Flag {}
lone sig NoVersionCheck, NoFallBack, NoClaimCheck extends Flag {}

-- RelayService.isWatching: the answer states that the instance watches and reaches the store.
fun sound: set Instance {
  { i: Talking | some NoClaimCheck or i in Watching & Caught & Online }
}

fun newest[held: set Revision]: lone Revision { { r: held | no held & r.nexts } }

pred init {
  Watching = Instance
  Caught = Instance
  all i: Instance | i.has = Store.head
}

-- FleetReplica and CategoryFollower: a watch brings what the store has.
pred watches[i: Instance] {
  i.has' = (i in Online implies Store.head else i.has)
  -- RelayFollower.update: it stops watching only when all drawn watchers are healthy.
  i not in Watching' implies (some i.drawn' - i and (i.drawn' - i) in sound and i in Online)
}

-- RelayFollower.WatcherPoller.handleAnswer: the state of a healthy watcher is applied if newer.
pred relies[i: Instance] {
  let asked = (i.drawn - i) & sound {
    some asked implies {
      i.has' = newest[(some NoVersionCheck implies none else i.has) + asked.has]
      i not in Watching' or i.drawn' != i.drawn
    } else {
      -- RelayFollower.suspend: no healthy watcher is left, so it watches by itself at once.
      i.has' = i.has
      i in Watching' or some NoFallBack
    }
  }
}

fact rounds {
  init
  always {
    Store.head' in Store.head + Store.head.next
    Caught' = Watching' & Watching & Online
    all i: Instance | i in Watching implies watches[i] else relies[i]
  }
}

pred onlyForward { always all i: Instance | lte[i.has, i.has'] }
pred nobodyAhead { always all i: Instance | lte[i.has, Store.head] }

-- What the store has, and so what any member has, each member that the store would serve meanwhile
-- has four rounds later, whoever else is lost.
pred inForceWithinRounds {
  always all i: Instance, r: Revision |
    (r = Store.head and i in Online and after (i in Online and after (i in Online and after i in Online)))
      implies after after after after lte[r, i.has]
}

pred inForceWithinTwoRounds {
  always all i: Instance, r: Revision |
    (r = Store.head and i in Online and after i in Online) implies after after lte[r, i.has]
}

check OnlyForward { no Flag implies onlyForward } for 3 but 3 Instance, 3 Revision, 1..8 steps expect 0
check NobodyAhead { no Flag implies nobodyAhead } for 3 but 3 Instance, 3 Revision, 1..8 steps expect 0
check InForceWithinRounds { no Flag implies inForceWithinRounds } for 3 but 3 Instance, 2 Revision, 1..8 steps expect 0

-- Interesting states are reached.

-- Two watch, and the third has what they reported to it.
run OneHearsFromTwo {
  no Flag
  some i: Instance | #i.drawn = 2 and eventually (#Watching = 2 and i not in Watching and after (i not in Watching and i.has != first))
} for 3 but 3 Instance, 2 Revision, 1..8 steps expect 1

-- Two that drew each other stop watching in the same round, and both resume.
run RelyOnEachOther {
  no Flag
  eventually (some disj i, j: Instance | i in j.drawn and j in i.drawn and no (i + j) & Watching and after (i + j) in Watching)
} for 3 but 2 Instance, 2 Revision, 1..8 steps expect 1

-- Going forward rests on the comparison of revisions alone, not on the statements of watchers about
-- themselves.
check ForwardWithoutClaims { Flag = NoClaimCheck implies onlyForward } for 3 but 3 Instance, 3 Revision, 1..8 steps expect 0

-- Mutants are caught.

check MutantNoVersionCheck { Flag = NoVersionCheck + NoClaimCheck implies onlyForward } for 3 but 3 Instance, 3 Revision, 1..8 steps expect 1
check MutantNoFallBack { Flag = NoFallBack implies inForceWithinRounds } for 3 but 3 Instance, 2 Revision, 1..8 steps expect 1
check MutantNoClaimCheck { Flag = NoClaimCheck implies inForceWithinRounds } for 3 but 2 Instance, 2 Revision, 1..8 steps expect 1
check MutantFewerRounds { no Flag implies inForceWithinTwoRounds } for 3 but 3 Instance, 2 Revision, 1..8 steps expect 1

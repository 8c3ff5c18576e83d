/*
 * The chain of configuration versions and its spread to instances.
 *
 * Operators' plans race for the next version by conditional writes whose answers may be lost and
 * which may land late. Instances take versions from the platform, from each other and from late
 * messages; they crash and restart without data, also while the platform is unavailable.
 * docs/model/configuration.md maps each step to the class that does it.
 */
module configuration

open util/ordering[Version]

sig Version {}

sig Plan {
  var base: lone Version
}

sig Instance {
  var has: one Version
}

one sig Platform {
  var head: one Version,
  var accepted: Version -> lone Plan
}

-- Writes that were sent and may still land, regardless of the answers to their senders.
var sig InFlight in Plan {}
-- Plans that were reported to their operators as accepted, or as never to be accepted.
var sig ToldAccepted, ToldRefused in Plan {}
-- Instances that run, and those that serve callers.
var sig Up, Ready in Instance {}
-- Instances that reach the platform now.
var sig Online in Instance {}
-- Messages under way: a version that some instance had, on its way to another.
one sig Links {
  var messages: Instance -> Version
}

-- Mutants: each flag removes one guard.
abstract sig Flag {}
lone sig NoBaseCheck, NoVersionCheck, NoReadBack, NoRecentPlans extends Flag {}

fun plansIn: set Plan { Version.(Platform.accepted) }

pred init {
  no base
  Platform.head = first
  no Platform.accepted
  no InFlight
  no ToldAccepted
  no ToldRefused
  all i: Instance | i.has = first
  Up = Instance
  Ready = Instance
  no Links.messages
}

pred chainKept { base' = base and Platform.head' = Platform.head and Platform.accepted' = Platform.accepted and InFlight' = InFlight }
pred toldKept { ToldAccepted' = ToldAccepted and ToldRefused' = ToldRefused }
pred instancesKept { has' = has and Up' = Up and Ready' = Ready }
pred messagesKept { Links.messages' = Links.messages }

-- ConfigurationPlanner: a plan is based on the current version.
pred makePlan[p: Plan] {
  no p.base
  base' = base + p -> Platform.head
  Platform.head' = Platform.head and Platform.accepted' = Platform.accepted and InFlight' = InFlight
  toldKept and instancesKept and messagesKept
}

-- ConfigurationConfirmation.onHead: the write is sent if the base is still current, and sent again
-- after an answer was lost.
pred sendWrite[p: Plan] {
  p.base = Platform.head
  p not in plansIn
  p not in ToldRefused
  InFlight' = InFlight + p
  base' = base and Platform.head' = Platform.head and Platform.accepted' = Platform.accepted
  toldKept and instancesKept and messagesKept
}

-- The platform: a conditional write lands only on the object version that it expects.
pred landWrite[p: Plan] {
  p in InFlight
  some Platform.head.next
  p.base = Platform.head or (some NoBaseCheck and p not in plansIn)
  Platform.head' = Platform.head.next
  Platform.accepted' = Platform.accepted + Platform.head.next -> p
  InFlight' = InFlight - p
  base' = base
  toldKept and instancesKept and messagesKept
}

-- The platform: a write whose condition does not hold has no effect.
pred failWrite[p: Plan] {
  p in InFlight
  p.base != Platform.head
  InFlight' = InFlight - p
  base' = base and Platform.head' = Platform.head and Platform.accepted' = Platform.accepted
  toldKept and instancesKept and messagesKept
}

-- ConfigurationConfirmation: written, or the plan's id is found in the head that is read back.
pred tellAccepted[p: Plan] {
  p in plansIn
  p not in ToldRefused
  ToldAccepted' = ToldAccepted + p
  ToldRefused' = ToldRefused
  chainKept and instancesKept and messagesKept
}

-- ConfigurationConfirmation.resolveBaseMismatch: another version is current and the plan's id is
-- not in the head. Without reading back, a lost answer would be taken for a refusal; without the
-- recent plans, another version alone would be.
pred tellRefused[p: Plan] {
  some p.base
  p not in ToldAccepted
  (p.base != Platform.head and (p not in plansIn or some NoRecentPlans))
    or (some NoReadBack and p in InFlight)
  ToldRefused' = ToldRefused + p
  ToldAccepted' = ToldAccepted
  chainKept and instancesKept and messagesKept
}

pred rise[i: Instance, v: Version] {
  gt[v, i.has] or some NoVersionCheck
  has' = has ++ i -> v
  Up' = Up
}

-- PlatformFollower: the current head, by a read or a watch.
pred takeFromPlatform[i: Instance] {
  i in Up & Online
  rise[i, Platform.head]
  Ready' = Ready + i
  chainKept and toldKept and messagesKept
}

-- A read that finds no newer version allows the instance to serve.
pred readNothingNewer[i: Instance] {
  i in Up & Online - Ready
  i.has = Platform.head
  Ready' = Ready + i
  has' = has and Up' = Up
  chainKept and toldKept and messagesKept
}

-- PeerFollower: a peer that reports a higher version is queried. While the platform is unavailable,
-- a new instance serves once it has the highest version of the running peers.
pred takeFromPeer[i, j: Instance] {
  i in Up and j in Up - i
  rise[i, j.has]
  Ready' = Ready + { k: i | all other: Up - i | lte[other.has, j.has] }
  chainKept and toldKept and messagesKept
}

-- ConfigurationService.distribute: a message is sent and may arrive late or never.
pred sendNews[i, j: Instance] {
  i in Up and j != i
  Links.messages' = Links.messages + j -> i.has
  chainKept and toldKept and instancesKept
}

-- ConfigurationReplica.apply: only updates to a higher version are applied.
pred takeNews[i: Instance, v: Version] {
  i in Up
  v in i.(Links.messages)
  rise[i, v]
  Ready' = Ready
  Links.messages' in Links.messages and Links.messages - i -> v in Links.messages'
  chainKept and toldKept
}

pred crash[i: Instance] {
  i in Up
  Up' = Up - i
  Ready' = Ready - i
  has' = has
  chainKept and toldKept and messagesKept
}

-- An instance has no disk: it restarts without data and is not ready.
pred restart[i: Instance] {
  i not in Up
  Up' = Up + i
  has' = has ++ i -> first
  Ready' = Ready
  chainKept and toldKept and messagesKept
}

pred stutter { chainKept and toldKept and instancesKept and messagesKept }

fact traces {
  init
  always {
    stutter
      or (some p: Plan | makePlan[p] or sendWrite[p] or landWrite[p] or failWrite[p] or tellAccepted[p] or tellRefused[p])
      or (some i: Instance | takeFromPlatform[i] or readNothingNewer[i] or crash[i] or restart[i])
      or (some i, j: Instance | takeFromPeer[i, j] or sendNews[i, j])
      or (some i: Instance, v: Version | takeNews[i, v])
  }
}

-- Safety.

pred acceptedIsNeverLost {
  always {
    Platform.accepted in Platform.accepted'
    lte[Platform.head, Platform.head']
    ToldAccepted in plansIn
  }
}

pred refusedNeverComesIntoForce { always no ToldRefused & plansIn }

pred oneAcceptedForEachBase {
  always {
    all disj p, q: plansIn | p.base != q.base
    all p: plansIn | one Platform.accepted.p
  }
}

pred versionsOnlyRise {
  always all i: Up | i in Up' implies lte[i.has, i.has']
}

pred nobodyIsAheadOfTheChain { always all i: Instance | lte[i.has, Platform.head] }

check AcceptedIsNeverLost { no Flag implies acceptedIsNeverLost } for 3 but 3 Plan, 3 Version, 2 Instance, 1..10 steps expect 0
check RefusedNeverComesIntoForce { no Flag implies refusedNeverComesIntoForce } for 3 but 3 Plan, 3 Version, 1 Instance, 1..10 steps expect 0
check OneAcceptedForEachBase { no Flag implies oneAcceptedForEachBase } for 3 but 3 Plan, 3 Version, 1 Instance, 1..10 steps expect 0
check VersionsOnlyRise { no Flag implies versionsOnlyRise } for 3 but 2 Plan, 3 Version, 3 Instance, 1..9 steps expect 0
check NobodyIsAheadOfTheChain { no Flag implies nobodyIsAheadOfTheChain } for 3 but 2 Plan, 3 Version, 3 Instance, 1..9 steps expect 0

-- Interesting states are reached.

-- Two plans race on one base; the loser is refused, and the winner finds its success only by
-- reading back, after its answer was lost.
run RaceWithLostAnswer {
  no Flag
  some disj p, q: Plan | eventually (p.base = q.base and p in ToldAccepted and q in ToldRefused and no InFlight)
} for 3 but 2 Plan, 3 Version, 1 Instance, 1..10 steps expect 1

-- A write lands after its outcome was reported as uncertain and another confirmation of the plan
-- started.
run LateWriteLands {
  no Flag
  some p: Plan | eventually (p in InFlight and after sendWrite[p]) and eventually p in ToldAccepted
} for 3 but 1 Plan, 2 Version, 1 Instance, 1..8 steps expect 1

-- An instance that never reaches the platform has the newest version.
run RelayToCutOffInstance {
  no Flag
  some i: Instance | always i not in Online and eventually (i.has = last and i in Ready and Platform.head = last)
} for 3 but 2 Plan, 3 Version, 2 Instance, 1..12 steps expect 1

-- While the platform is unavailable, a new instance serves with the version of its peers.
run NewInstanceFromPeers {
  no Flag
  some i: Instance | eventually (i not in Up and always no Online and eventually (i in Ready and i.has != first))
} for 3 but 1 Plan, 2 Version, 2 Instance, 1..12 steps expect 1

-- A message with an old version arrives at an instance that has a newer one.
run OldMessageMeetsNewerVersion {
  no Flag
  some i: Instance | eventually some v: i.(Links.messages) | i in Up and lt[v, i.has]
} for 3 but 2 Plan, 3 Version, 2 Instance, 1..10 steps expect 1

-- Mutants are caught.

check MutantNoBaseCheck { Flag = NoBaseCheck implies oneAcceptedForEachBase } for 3 but 2 Plan, 3 Version, 1 Instance, 1..10 steps expect 1
check MutantNoVersionCheck { Flag = NoVersionCheck implies versionsOnlyRise } for 3 but 2 Plan, 3 Version, 2 Instance, 1..10 steps expect 1
check MutantNoReadBack { Flag = NoReadBack implies refusedNeverComesIntoForce } for 3 but 2 Plan, 3 Version, 1 Instance, 1..10 steps expect 1
check MutantNoRecentPlans { Flag = NoRecentPlans implies refusedNeverComesIntoForce } for 3 but 2 Plan, 3 Version, 1 Instance, 1..10 steps expect 1

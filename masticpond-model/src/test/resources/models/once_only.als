module once_only
-- Operations that run at most once; docs/model/once-only.md maps the steps to the classes.
-- A key names its home, one run (incarnation) of an instance. A caller's own name for an operation
-- is bound to one key by a claim at the platform; a homed key has a name that no other key has.

sig Instance {}

sig Incarnation { instance: one Instance }

sig Name {}

sig Key { home: one Incarnation, name: one Name }

-- Names that need a claim; the others were issued with their one key by a look-up.
sig Claimed in Name {}

abstract sig Guard {}
one sig IncarnationCheck, ClaimConfirmation, SingleUse, UnsentRefusal extends Guard {}
sig Enforced in Guard {}

-- The runs of instances.
var sig Live in Incarnation {}
var sig Paused in Incarnation {}
var sig Dead in Incarnation {}

-- The platform: claims that were sent and may still take effect, claims that hold, outcomes copied.
var sig Sent in Key {}
var sig Held in Key {}
var sig Archived in Key {}

-- The memory of the homes, lost with them: what runs, and the outcomes kept.
var sig Running in Key {}
var sig KeptAnswer in Key {}
var sig KeptUnknown in Key {}

-- The way to the backend servers: requests under way, and answers under way to the home.
var sig UnderWay in Key {}
var sig AnswerUnderWay in Key {}

-- Counted at the backend servers.
var sig Executed in Key {}
var sig Twice in Name {}

-- The answers to callers; "did not run" holds until the caller sends the key again.
var sig ToldAnswer in Key {}
var sig ToldUnknown in Name {}
var sig ToldDidNotRun in Name {}

fact wellFormed {
  all n: Name - Claimed | lone name.n
}

pred start {
  no Dead and no Paused and no Sent and no Held and no Archived and no Running
  no KeptAnswer and no KeptUnknown and no UnderWay and no AnswerUnderWay
  no Executed and no Twice and no ToldAnswer and no ToldUnknown and no ToldDidNotRun
  all i: Instance | one Live & instance.i
}

fun awake: set Incarnation { Live - Paused }

pred homesUnchanged { Live' = Live and Paused' = Paused and Dead' = Dead }
pred platformUnchanged { Sent' = Sent and Held' = Held and Archived' = Archived }
pred memoryUnchanged {
  Running' = Running and KeptAnswer' = KeptAnswer and KeptUnknown' = KeptUnknown
}
pred backendUnchanged {
  UnderWay' = UnderWay and AnswerUnderWay' = AnswerUnderWay
  Executed' = Executed and Twice' = Twice
}
pred toldUnchanged {
  ToldAnswer' = ToldAnswer and ToldUnknown' = ToldUnknown and ToldDidNotRun' = ToldDidNotRun
}

-- ClaimBatcher.nextCalls: the home sends an update that binds the name to its key.
pred sendClaim[k: Key] {
  k.home in awake and k.name in Claimed and k not in Sent + Held
  Sent' = Sent + k and Held' = Held and Archived' = Archived
  homesUnchanged and memoryUnchanged and backendUnchanged and toldUnchanged
}

-- The platform applies the update, at any time, also after its answer was lost or its sender died;
-- the condition lets only one key of a name hold.
pred applyClaim[k: Key] {
  k in Sent
  Sent' = Sent - k
  Held' = (no Held & name.(k.name) implies Held + k else Held)
  Archived' = Archived
  homesUnchanged and memoryUnchanged and backendUnchanged and toldUnchanged
}

-- OperationRegistry.begin: a request with the key, from a caller or passed on, reaches a home.
pred begin[i: Incarnation, k: Key] {
  i in awake
  IncarnationCheck in Enforced implies i = k.home else i.instance = k.home.instance
  k.name in Claimed implies
    (ClaimConfirmation in Enforced implies k in Held else k in Sent + Held)
  k not in Running
  SingleUse in Enforced implies k not in KeptAnswer + KeptUnknown
  Running' = Running + k and KeptAnswer' = KeptAnswer and KeptUnknown' = KeptUnknown
  UnderWay' = UnderWay + k and AnswerUnderWay' = AnswerUnderWay
  Executed' = Executed and Twice' = Twice
  ToldAnswer' = ToldAnswer and ToldUnknown' = ToldUnknown
  ToldDidNotRun' = ToldDidNotRun - k.name
  homesUnchanged and platformUnchanged
}

-- A backend server runs the request, also when the home is paused or dead by then.
pred execute[k: Key] {
  k in UnderWay
  UnderWay' = UnderWay - k and AnswerUnderWay' = AnswerUnderWay + k
  Executed' = Executed + k
  Twice' = (some Executed & name.(k.name) implies Twice + k.name else Twice)
  homesUnchanged and platformUnchanged and memoryUnchanged and toldUnchanged
}

-- OperationRegistry.complete with an answer: in time, or late after the home had given up. The
-- answer to the first caller is a step of its own, since its connection may be closed.
pred endAnswered[k: Key] {
  k.home in awake and k in Running + KeptUnknown and k in AnswerUnderWay
  Running' = Running - k and KeptAnswer' = KeptAnswer + k and KeptUnknown' = KeptUnknown - k
  AnswerUnderWay' = AnswerUnderWay - k
  UnderWay' = UnderWay and Executed' = Executed and Twice' = Twice
  homesUnchanged and platformUnchanged and toldUnchanged
}

-- OperationRegistry.complete without an answer: the deadline passed or the connection broke.
pred endUnknown[k: Key] {
  k.home in awake and k in Running
  Running' = Running - k and KeptUnknown' = KeptUnknown + k and KeptAnswer' = KeptAnswer
  ToldUnknown' = ToldUnknown + k.name
  ToldAnswer' = ToldAnswer and ToldDidNotRun' = ToldDidNotRun
  homesUnchanged and platformUnchanged and backendUnchanged
}

-- OperationRegistry.complete as did not run: no byte left, or a declared shed answer came.
pred endDidNotRun[k: Key] {
  k.home in awake and k in Running
  UnsentRefusal in Enforced implies k in UnderWay
  UnderWay' = UnderWay - k and AnswerUnderWay' = AnswerUnderWay
  Executed' = Executed and Twice' = Twice
  Running' = Running - k and KeptAnswer' = KeptAnswer and KeptUnknown' = KeptUnknown
  ToldDidNotRun' = ToldDidNotRun + k.name
  ToldAnswer' = ToldAnswer and ToldUnknown' = ToldUnknown
  homesUnchanged and platformUnchanged
}

-- An answer for which no request waits any more is lost.
pred loseAnswer[k: Key] {
  k in AnswerUnderWay
  AnswerUnderWay' = AnswerUnderWay - k
  UnderWay' = UnderWay and Executed' = Executed and Twice' = Twice
  homesUnchanged and platformUnchanged and memoryUnchanged and toldUnchanged
}

-- OutcomeBatcher, and the hand-over of a planned stop: the answer outlives the home.
pred archive[k: Key] {
  k.home in awake and k in KeptAnswer - Archived
  Archived' = Archived + k and Sent' = Sent and Held' = Held
  homesUnchanged and memoryUnchanged and backendUnchanged and toldUnchanged
}

-- The first caller or a repeat, of what ended: the home's memory, or for a dead home the copy, or else "may have run".
pred tell[k: Key] {
  ((k.home in awake and k in KeptAnswer) or (k.home in Dead and k in Archived))
    implies (ToldAnswer' = ToldAnswer + k and ToldUnknown' = ToldUnknown)
    else (ToldAnswer' = ToldAnswer and ToldUnknown' = ToldUnknown + k.name)
  ToldDidNotRun' = ToldDidNotRun
  homesUnchanged and platformUnchanged and memoryUnchanged and backendUnchanged
}

pred die[i: Incarnation] {
  i in Live
  Live' = Live - i and Dead' = Dead + i and Paused' = Paused - i
  Running' = Running - home.i
  KeptAnswer' = KeptAnswer - home.i and KeptUnknown' = KeptUnknown - home.i
  platformUnchanged and backendUnchanged and toldUnchanged
}

pred restart[i: Incarnation] {
  i not in Live + Dead
  no Live & instance.(i.instance)
  Live' = Live + i and Dead' = Dead and Paused' = Paused
  platformUnchanged and memoryUnchanged and backendUnchanged and toldUnchanged
}

pred pause[i: Incarnation] {
  i in awake
  Paused' = Paused + i and Live' = Live and Dead' = Dead
  platformUnchanged and memoryUnchanged and backendUnchanged and toldUnchanged
}

pred wake[i: Incarnation] {
  i in Paused
  Paused' = Paused - i and Live' = Live and Dead' = Dead
  platformUnchanged and memoryUnchanged and backendUnchanged and toldUnchanged
}

pred stutter {
  homesUnchanged and platformUnchanged and memoryUnchanged
  backendUnchanged and toldUnchanged
}

pred step {
  stutter
  or (some k: Key | sendClaim[k] or applyClaim[k] or execute[k] or endAnswered[k]
    or endUnknown[k] or endDidNotRun[k] or loseAnswer[k] or archive[k] or tell[k])
  or (some i: Incarnation | die[i] or restart[i] or pause[i] or wake[i]
    or (some k: Key | begin[i, k]))
}

pred system { start and always step }

pred atMostOnce { always no Twice }

-- At the moment it is told, "did not run" is true, and nothing under way can make it untrue.
pred trueDidNotRun {
  always all n: Name | (n not in ToldDidNotRun and n in ToldDidNotRun') implies
    no (Executed' + UnderWay') & name.n
}

-- One answer for a name, and only of what ran.
pred answersNeverChange {
  always (all n: Name | lone ToldAnswer & name.n)
  always ToldAnswer in Executed
}

assert design {
  (system and Enforced = Guard) implies (atMostOnce and trueDidNotRun and answersNeverChange)
}
check design for exactly 2 Instance, 3 Incarnation, 1 Name, 2 Key, 1..8 steps expect 0

assert withoutIncarnationCheck {
  (system and Enforced = Guard - IncarnationCheck) implies atMostOnce
}
check withoutIncarnationCheck for exactly 2 Instance, 3 Incarnation, 1 Name, 2 Key, 1..8 steps expect 1

assert withoutClaimConfirmation {
  (system and Enforced = Guard - ClaimConfirmation) implies atMostOnce
}
check withoutClaimConfirmation for exactly 2 Instance, 3 Incarnation, 1 Name, 2 Key, 1..8 steps expect 1

assert withoutSingleUse {
  (system and Enforced = Guard - SingleUse) implies atMostOnce
}
check withoutSingleUse for exactly 2 Instance, 3 Incarnation, 1 Name, 2 Key, 1..8 steps expect 1

assert withoutUnsentRefusal {
  (system and Enforced = Guard - UnsentRefusal) implies trueDidNotRun
}
check withoutUnsentRefusal for exactly 2 Instance, 3 Incarnation, 1 Name, 2 Key, 1..8 steps expect 1

-- A home dies after the answer was copied, and a repeat still gets the answer.
run answerOutlivesHome {
  system and Enforced = Guard
  some k: Key | eventually (k.home in Dead and k not in ToldAnswer and after k in ToldAnswer)
} for 2 but 1 Instance, 1..8 steps expect 1

-- A home dies while the operation runs; it runs nevertheless and the caller is told the truth.
run homeDiesMidRun {
  system and Enforced = Guard
  some k: Key | eventually (k.home in Dead and k in Executed and k.name in ToldUnknown)
} for 2 but 1 Instance, 1..8 steps expect 1

-- A late answer settles what may have run.
run lateAnswer {
  system and Enforced = Guard
  some k: Key | eventually (k in KeptUnknown and k.name in ToldUnknown and after k in KeptAnswer)
} for 2 but 1 Instance, 1..8 steps expect 1

-- Two instances race for one name, the loser's update takes effect never, and the name runs.
run claimsRace {
  system and Enforced = Guard
  some disj a, b: Key | a.name = b.name and a.home.instance != b.home.instance
    and eventually (a + b in Sent) and eventually a in KeptAnswer
} for 2 but 2 Instance, 1..8 steps expect 1

-- The update takes effect after its sender died: the name never runs, and that is told truthfully.
run lateClaimOfDeadHome {
  system and Enforced = Guard
  some k: Key | k.name in Claimed and eventually (k in Sent and k.home in Dead)
    and eventually (k in Held and k.home in Dead and k.name in ToldUnknown)
} for 2 but 1 Instance, 1..8 steps expect 1

-- A paused home wakes and ends its operation.
run pauseAndWake {
  system and Enforced = Guard
  some k: Key | eventually (k.home in Paused and k in Executed)
    and eventually (k.home not in Paused and k in KeptAnswer)
} for 2 but 1 Instance, 1..8 steps expect 1

-- What did not run runs later under the same key, once.
run runsAfterRefusal {
  system and Enforced = Guard
  some k: Key | eventually (k.name in ToldDidNotRun and eventually k in KeptAnswer)
} for 2 but 1 Instance, 1..8 steps expect 1

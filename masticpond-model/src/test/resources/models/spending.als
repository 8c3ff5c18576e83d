module spending
-- Spending of one service in one shift: allotments by conditional update of one ledger.
-- docs/model/spending.md maps each step to the class that does it.

open util/ordering[Version]

-- Versions of the ledger object at the platform.
sig Version {}

-- One unit of money, named by the (incarnation, sequence) of the change that allots it.
sig Unit {}

-- An incarnation of an instance. A restart is another one, which knows nothing of the first.
sig Holder {
  predecessor: lone Holder,
  var held: set Unit,       -- may be spent
  var spent: set Unit,      -- was spent
  var pending: lone Change  -- a change whose outcome is not settled
}

-- A change of the ledger, made only if the object still has the version `base`.
sig Change {
  by: one Holder,
  base: one Version,
  result: set Unit,
  take: lone Unit,
  give: lone Unit
}

one sig Ledger {
  var version: one Version,
  var allotted: set Unit,
  var cap: one Int,
  var highest: one Int
}

var sig Started, Dead, Paused in Holder {}

-- Changes that were sent; each is asked for once.
var sig Sent in Change {}

-- Changes on their way to the platform; a change made twice, or late, may arrive again.
var sig OnTheWay in Change {}

-- The guards of the protocol; a mutant is a run with one of them off.
abstract sig Guard {}
one sig ConditionalUpdate, ReadBack, ReturnedIsNotSpent, OnlyTheHolderTakesBack, CapChecked
  extends Guard {}
sig Off in Guard {}

fact noCycles { no h: Holder | h in h.^predecessor }

-- A sequence number is used once, so a unit is taken by one change only.
fact changes {
  all c: Change | (one c.take and no c.give) or (no c.take and one c.give)
  all disj c, d: Change | no c.take & d.take
}

fun active: set Holder { Started - Dead - Paused }

pred init {
  no held and no spent and no pending and no OnTheWay and no Sent and no Dead and no Paused
  Started = { h: Holder | no h.predecessor }
  Ledger.version = first
  no Ledger.allotted
  Ledger.cap in 0 + 1 + 2
  Ledger.highest = Ledger.cap
}

pred holdersStay { Started' = Started and Dead' = Dead and Paused' = Paused }
pred moneyStays { held' = held and spent' = spent }
pred ledgerStays { version' = version and allotted' = allotted and cap' = cap and highest' = highest }
pred callsStay { pending' = pending and OnTheWay' = OnTheWay and Sent' = Sent }

pred ask [h: Holder, c: Change] {
  h in active
  no h.pending
  c.by = h and c.base = Ledger.version
  c not in Sent
  pending' = pending + h -> c
  OnTheWay' = OnTheWay + c
  Sent' = Sent + c
}

-- SpendingAccount.change with LedgerExchange.allot
pred sendTake [h: Holder, c: Change] {
  ask[h, c]
  some c.take
  c.result = Ledger.allotted + c.take
  CapChecked not in Off implies #(c.result) <= Ledger.cap
  moneyStays and ledgerStays and holdersStay
}

-- SpendingAccount.change with LedgerExchange.returnAllotment
pred sendGive [h: Holder, c: Change] {
  ask[h, c]
  some c.give & h.held
  c.result = Ledger.allotted - c.give
  ReturnedIsNotSpent in Off implies held' = held else held' = held - h -> c.give
  spent' = spent and ledgerStays and holdersStay
}

pred apply [c: Change] {
  (c.base = Ledger.version or ConditionalUpdate in Off) implies {
    allotted' = Ledger -> c.result
    version' = Ledger -> Ledger.version.next
    some Ledger.version.next
  } else {
    allotted' = allotted and version' = version
  }
  cap' = cap and highest' = highest
}

pred tookEffect [h: Holder, c: Change] {
  held' = held + h -> c.take
  pending' = pending - h -> c
}

pred hadNoEffect [h: Holder, c: Change] {
  held' = held + h -> c.give
  pending' = pending - h -> c
}

-- The platform answers, and the holder receives the answer: LedgerAnswer.Written or Conflicted.
pred arriveAnswered [c: Change] {
  c in OnTheWay
  c.by in active and c.by.pending = c
  OnTheWay' = OnTheWay - c
  apply[c]
  (c.base = Ledger.version or ConditionalUpdate in Off)
    implies tookEffect[c.by, c]
    else settle[c.by, c]
  spent' = spent and Sent' = Sent and holdersStay
}

-- The change arrives, and its answer is lost; a copy may still be on the way.
pred arriveLost [c: Change] {
  c in OnTheWay
  OnTheWay' in OnTheWay and OnTheWay - c in OnTheWay'
  apply[c]
  pending' = pending and Sent' = Sent
  moneyStays and holdersStay
}

-- LedgerExchange.settleBy, with the current ledger
pred settle [h: Holder, c: Change] {
  ((some c.take and c.take in Ledger.allotted) or (some c.give and c.give not in Ledger.allotted))
    implies tookEffect[h, c]
    else (Ledger.version != c.base implies hadNoEffect[h, c]
          else (held' = held and pending' = pending))
}

-- LedgerAnswer.Uncertain and then Found
pred readBack [h: Holder] {
  h in active and some h.pending
  ReadBack in Off
    implies (tookEffect[h, h.pending] or hadNoEffect[h, h.pending])
    else settle[h, h.pending]
  spent' = spent and OnTheWay' = OnTheWay and Sent' = Sent
  ledgerStays and holdersStay
}

-- DefaultSpendingGate.charge
pred spend [h: Holder, u: Unit] {
  h in active and u in h.held and u not in h.spent
  held' = held - h -> u
  spent' = spent + h -> u
  callsStay and ledgerStays and holdersStay
}

pred crash [h: Holder] {
  h in Started - Dead
  Dead' = Dead + h
  Started' = Started and Paused' = Paused
  callsStay and moneyStays and ledgerStays
}

-- A new incarnation starts, because the one before is dead or looks so.
pred restart [h: Holder] {
  h not in Started
  some h.predecessor and h.predecessor in Started and h.predecessor not in active
  Started' = Started + h
  Dead' = Dead and Paused' = Paused
  OnlyTheHolderTakesBack in Off
    implies held' = held + h -> h.predecessor.held
    else held' = held
  spent' = spent and callsStay and ledgerStays
}

pred pause [h: Holder] {
  h in active
  Paused' = Paused + h
  Started' = Started and Dead' = Dead
  callsStay and moneyStays and ledgerStays
}

pred wake [h: Holder] {
  h in Paused - Dead
  Paused' = Paused - h
  Started' = Started and Dead' = Dead
  callsStay and moneyStays and ledgerStays
}

-- LedgerExchange.recordCap, or the cap that is written with another change
pred changeCap {
  some c: 0 + 1 + 2 {
    c != Ledger.cap
    cap' = Ledger -> c
    highest' = Ledger -> (c > Ledger.highest implies c else Ledger.highest)
  }
  some Ledger.version.next
  version' = Ledger -> Ledger.version.next
  allotted' = allotted
  callsStay and moneyStays and holdersStay
}

pred stutter { callsStay and moneyStays and ledgerStays and holdersStay }

pred step {
  (some h: Holder, c: Change | sendTake[h, c] or sendGive[h, c])
  or (some c: Change | arriveAnswered[c] or arriveLost[c])
  or (some h: Holder | readBack[h] or crash[h] or restart[h] or pause[h] or wake[h])
  or (some h: Holder, u: Unit | spend[h, u])
  or changeCap
  or stutter
}

fact traces { init and always step }

-- Spending never passes the cap, or the highest that it was in the shift.
pred spendingUnderCap { #spent <= Ledger.highest }

-- Nothing is held or was spent that the ledger does not show.
pred ledgerShowsAll { Holder.(held + spent) in Ledger.allotted }

-- Allotments grow only within the cap in force.
pred growsWithinCap {
  some (Ledger.allotted' - Ledger.allotted) implies #(Ledger.allotted') <= Ledger.cap
}

-- Narrows a search to one holder that takes a unit and returns it, and one that takes another.
fun Giver: set Holder { { h: Holder | some c: Change | c.by = h and some c.give } }
fun Taker: set Holder { Holder - Giver }
pred handsOver {
  one Giver and no predecessor and Ledger.cap = 1
  one c: Change | c.by in Giver and some c.take
  one c: Change | c.by in Taker and some c.take
  always (no Dead and no Paused and Ledger.cap = 1)
}

assert safe {
  no Off implies always (spendingUnderCap and ledgerShowsAll and growsWithinCap)
}
check safe for 2 Holder, 2 Unit, 3 Change, 4 Version, 3 Int, 6 steps expect 0

-- Interesting states are reached.
run lostAnswerIsRecognised {
  no Off
  some c: Change, u: c.take {
    eventually (arriveLost[c] and u in Ledger.allotted' and after eventually
      (readBack[c.by] and u in c.by.held' and after eventually u in c.by.spent))
  }
} for 1 Holder, 1 Unit, 1 Change, 2 Version, 3 Int, 6 steps expect 1

run pausedHolderWakesBesideItsSuccessor {
  no Off
  some disj a, b: Holder | b.predecessor = a and eventually (some a.held and a in Paused
    and after eventually (some b.spent and after eventually (a in active and some a.spent)))
  eventually #spent = 2
} for 2 Holder, 2 Unit, 2 Change, 3 Version, 3 Int, 10 steps expect 1

run capLoweredBelowWhatIsAllotted {
  no Off
  eventually (#(Ledger.allotted) > Ledger.cap and #spent < 2
    and after eventually (#spent > Ledger.cap and #spent <= Ledger.highest))
} for 2 Holder, 2 Unit, 2 Change, 4 Version, 3 Int, 8 steps expect 1

run returnedUnitIsSpentByAnother {
  no Off
  handsOver
  eventually (some Giver.pending.give and after eventually
    (no Giver.pending and #(Taker.spent) = Ledger.highest and Ledger.highest = 1))
} for exactly 2 Holder, exactly 2 Unit, exactly 3 Change, exactly 4 Version, 3 Int, 9 steps expect 1

-- Each guard is needed: without it the check finds a run over the cap.
check withoutConditionalUpdate { Off = ConditionalUpdate implies always spendingUnderCap }
  for 2 Holder, 2 Unit, 2 Change, 3 Version, 3 Int, 7 steps expect 1
check withoutReadBack { Off = ReadBack implies always spendingUnderCap }
  for 2 Holder, 2 Unit, 2 Change, 3 Version, 3 Int, 7 steps expect 1
check withoutKeepingReturnedApart {
  (handsOver and Off = ReturnedIsNotSpent) implies always spendingUnderCap
} for exactly 2 Holder, exactly 2 Unit, exactly 3 Change, exactly 4 Version, 3 Int, 9 steps expect 1
check withoutOnlyTheHolderTakesBack { Off = OnlyTheHolderTakesBack implies always spendingUnderCap }
  for 2 Holder, 1 Unit, 1 Change, 2 Version, 3 Int, 9 steps expect 1
check withoutCapCheck { Off = CapChecked implies always spendingUnderCap }
  for 1 Holder, 1 Unit, 1 Change, 2 Version, 3 Int, 5 steps expect 1

module retry_share

/*
 * The division of the slack of one retry budget among three instances that come and go.
 *
 * All instances step at once, and a step is half a window. An instance that spends takes its whole
 * part: the slack over the number of shareholders that it counts. A view lags by a step at most, but
 * for a cut, which may last. What all spend in one window, that is in two steps in a row, then never
 * passes the slack.
 *
 * docs/model/retry-share.md maps the steps to classes.
 */

open util/ordering[Number] as numbers

-- A number of shareholders: one, two, three.
sig Number {}

sig Instance {
  -- the others that it counts among those that may be sending
  var counts: set Instance,
  -- the shareholders that its budget saw one step and two steps ago
  var lately: lone Number,
  var earlier: lone Number,
  -- the number that it divided by one step ago, if it spent then
  var dividedBy: lone Number
}

one sig Network { var cut: Instance -> Instance }

var sig Running in Instance {}
-- runs that began now, one step ago, two steps ago
var sig Newest, Newer, New in Instance {}
-- whose budget exists and sees how many shareholders there are
var sig Observing in Instance {}
-- who spends its part in this step
var sig Spending in Instance {}

-- Present in mutants only: the guard that it names is removed.
lone sig WithoutQuietStart {}
lone sig WithoutMemory {}
lone sig WithoutSilent {}
lone sig WithoutHearing {}
lone sig WithoutEarlyBudget {}

fun seen[i: Instance]: Number {
  no i.counts implies numbers/first else (one i.counts implies numbers/first.next else numbers/last)
}

-- A lower number takes hold after a window only.
fun held[i: Instance]: Number {
  some WithoutMemory implies seen[i] else numbers/max[seen[i] + i.lately + i.earlier]
}

-- Nothing in the first window. The code gives a part that grows from nothing in the second one;
-- here it has all of it then.
pred maySpend[i: Instance] {
  i in Running & Observing
  some WithoutQuietStart or i not in Newest + Newer + New
}

pred cutIsSymmetric {
  Network.cut = ~(Network.cut)
  no iden & Network.cut
}

-- Heartbeats of one that just began reach all, or the store lists it, within a step.
pred newcomersAreHeard { no (Newest + Newer).(Network.cut) }

pred views[i: Instance] {
  i in Running & Running' implies {
    -- Heartbeats, within a step.
    all j: (Running & Running') - i |
      i -> j not in Network.cut + Network.cut' implies j in i.counts'
    -- One that runs is counted on, also while it is unresponsive; one that ended may be dropped.
    all j: i.counts & Running' |
      (no WithoutSilent or i -> j not in Network.cut') implies j in i.counts'
    i.counts' in i.counts + Running + Running'
  }
  i not in i.counts'
  i not in Running' implies no i.counts'
}

pred memory[i: Instance] {
  i.lately' = (i in Running & Running' & Observing implies seen[i] else none)
  i.earlier' = (i in Running & Running' & Observing implies i.lately else none)
  i.dividedBy' = (i in Spending implies held[i] else none)
}

pred runs {
  Newest' = Running' - Running
  Newer' = Newest & Running'
  New' = Newer & Running'
  Observing' in Running'
  Running' & Observing & Running in Observing'
  no WithoutEarlyBudget implies Observing' = Running'
}

fact traces {
  Running = Instance
  no Newest + Newer + New
  no WithoutEarlyBudget implies Observing = Instance
  no Network.cut
  no dividedBy
  all i: Instance {
    i.counts = Instance - i
    i.lately = (i in Observing implies numbers/last else none)
    i.earlier = i.lately
  }
  always {
    cutIsSymmetric
    no WithoutHearing implies newcomersAreHeard
    all i: Spending | maySpend[i]
    all i: Instance | views[i] and memory[i]
    runs
  }
}

-- Who spent in this window.
fun spenders[]: set Instance { Spending + dividedBy.Number }

-- So many parts of the slack divided by n do not pass it.
pred fits[n: Number] {
  n = numbers/first implies lone spenders[]
  n = numbers/first.next implies Instance not in spenders[]
}

-- With three instances, the parts add up to the slack at most exactly if each of them fits alone.
pred withinSlack {
  all i: Spending | fits[held[i]]
  all n: Instance.dividedBy | fits[n]
}

pred guarded {
  no WithoutQuietStart + WithoutMemory + WithoutSilent + WithoutHearing + WithoutEarlyBudget
}

assert bounded { guarded implies always withinSlack }

check bounded for exactly 3 Instance, exactly 3 Number, 9..9 steps expect 0

-- One that is left alone has the whole slack in the end.
run lastOneHasAll {
  guarded
  eventually (some i: Spending | held[i] = numbers/first)
} for exactly 3 Instance, exactly 3 Number, 9..9 steps expect 1

-- Two that are cut off from each other both spend, each its part of what they share.
run bothSidesOfACutSpend {
  guarded
  eventually (some disj i, j: Spending |
    i -> j in Network.cut and held[i] = numbers/first.next and held[j] = numbers/first.next)
} for exactly 3 Instance, exactly 3 Number, 9..9 steps expect 1

-- One that was started anew spends again.
run restartedSpends {
  guarded
  eventually (some i: Instance | i not in Running and eventually i in Spending)
} for exactly 3 Instance, exactly 3 Number, 9..9 steps expect 1

-- Mutant: a run has its part at once, before the others have been notified of it.
run passedWithoutQuietStart {
  no WithoutMemory + WithoutSilent + WithoutHearing + WithoutEarlyBudget
  some WithoutQuietStart
  eventually not withinSlack
} for exactly 3 Instance, exactly 3 Number, 9..9 steps expect 1

-- Mutant: a lower number of shareholders takes hold at once.
run passedWithoutMemory {
  no WithoutQuietStart + WithoutSilent + WithoutHearing + WithoutEarlyBudget
  some WithoutMemory
  eventually not withinSlack
} for exactly 3 Instance, exactly 3 Number, 9..9 steps expect 1

-- Mutant: one that is unresponsive is not counted, though it may be cut off and sending.
run passedWithoutSilent {
  no WithoutQuietStart + WithoutMemory + WithoutHearing + WithoutEarlyBudget
  some WithoutSilent
  eventually not withinSlack
} for exactly 3 Instance, exactly 3 Number, 9..9 steps expect 1

-- Beyond what is tolerated: one that begins is neither listed nor are its heartbeats received while it is young.
run passedWithoutHearing {
  no WithoutQuietStart + WithoutMemory + WithoutSilent + WithoutEarlyBudget
  some WithoutHearing
  eventually not withinSlack
} for exactly 3 Instance, exactly 3 Number, 11..11 steps expect 1

-- What the code allows: a budget that is made at the first request for a service does not know who
-- was there a moment before.
run passedWithoutEarlyBudget {
  no WithoutQuietStart + WithoutMemory + WithoutSilent + WithoutHearing
  some WithoutEarlyBudget
  eventually not withinSlack
} for exactly 3 Instance, exactly 3 Number, 9..9 steps expect 1

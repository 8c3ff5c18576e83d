module planned_stop

/*
 * The planned stop of one instance, with the directory of another one that is notified of it late.
 *
 * A step is half of the time that a client may keep an answer of the directory. The instance takes
 * connections for three steps more, which is that time and a half, then finishes what it has for
 * three steps, answers the rest as unfinished, and ends. All requests step at once.
 *
 * docs/model/planned-stop.md maps the steps to classes.
 */

open util/ordering[Stage] as stages

abstract sig Stage {}
one sig Serving, Leave1, Leave2, Leave3, Finish1, Finish2, Finish3, Ending, Ended extends Stage {}

fact order {
  stages/first = Serving
  stages/next = Serving -> Leave1 + Leave1 -> Leave2 + Leave2 -> Leave3 + Leave3 -> Finish1
    + Finish1 -> Finish2 + Finish2 -> Finish3 + Finish3 -> Ending + Ending -> Ended
}

one sig Stop { var stage: one Stage }

-- The other instance, whose directory names the one that stops, or did one or two steps ago.
one sig Directory {}
var sig Names, Named, NamedBefore in Directory {}

sig Request {}
-- A client connects, its request is being read, it was read whole and passed on.
var sig Arriving, Passed in Request {}
-- How it ended: a whole answer; refused as not run; the connection refused; ended before the
-- request was read whole, so that the client may repeat it; ended though it had been read.
var sig Answered, Refused, TurnedOff, Unread, Cut in Request {}

-- Present in mutants only: the guard that it names is removed.
lone sig WithoutAccepting {}
lone sig WithoutWaiting {}
lone sig WithoutLastAnswers {}
lone sig WithoutRefusing {}
lone sig WithoutPromptNews {}

fun ended[]: set Request { Answered + Refused + TurnedOff + Unread + Cut }

fun unfinished[]: set Request { Arriving + Passed }

pred accepts[s: Stage] {
  s in Serving + (no WithoutAccepting implies Leave1 + Leave2 + Leave3 else none)
}

pred mayPassOn[s: Stage] { s not in Ended + (no WithoutRefusing implies Ending else none) }

pred holdsAnswer { some Names + Named + NamedBefore }

pred stop {
  Stop.stage' = Stop.stage
    implies Stop.stage in Serving + Ended
    else (Stop.stage' = Stop.stage.(stages/next) or Stop.stage' = Ended)
  (Stop.stage' = Ended and Stop.stage not in Ending + Ended) implies {
    Stop.stage in Finish1 + Finish2 + Finish3
    no unfinished[] or some WithoutWaiting
  }
}

-- The update that it leaves reaches the other within a step.
pred directory {
  Named' = Names and NamedBefore' = Named
  some Names' implies Stop.stage' in
    Serving + Leave1 + (some WithoutPromptNews implies Leave2 else none)
}

pred request[r: Request] {
  r in ended[] implies sameEnd[r]
  r not in unfinished[] + ended[] implies begin[r]
  r in Arriving implies read[r]
  r in Passed implies answer[r]
}

pred sameEnd[r: Request] {
  r not in Arriving' + Passed'
  r in Answered implies r in Answered' else r not in Answered'
  r in Refused implies r in Refused' else r not in Refused'
  r in TurnedOff implies r in TurnedOff' else r not in TurnedOff'
  r in Unread implies r in Unread' else r not in Unread'
  r in Cut implies r in Cut' else r not in Cut'
}

pred begin[r: Request] {
  r not in Passed' + Answered' + Refused' + Unread' + Cut'
  r in Arriving' + TurnedOff' implies holdsAnswer
  r in Arriving' implies accepts[Stop.stage]
  r in TurnedOff' implies not accepts[Stop.stage]
  r not in Arriving' & TurnedOff'
}

pred read[r: Request] {
  one (Arriving' + Passed' + Refused' + Unread') & r
  r not in Answered' + TurnedOff' + Cut'
  r in Arriving' implies Stop.stage' != Ended and r not in Passed' + Refused' + Unread'
  r in Passed' implies mayPassOn[Stop.stage'] and r not in Refused' + Unread'
  r in Refused' implies not mayPassOn[Stop.stage'] and Stop.stage' != Ended and r not in Unread'
  -- It crossed the close of an idle connection, or the process has ended.
  r in Unread' implies Stop.stage' != Serving
}

pred answer[r: Request] {
  one (Passed' + Answered' + Cut') & r
  r not in Arriving' + Refused' + TurnedOff' + Unread'
  r in Passed' implies {
    r not in Answered' + Cut'
    Stop.stage' != Ended
    Stop.stage' = Ending implies some WithoutLastAnswers
  }
  r in Answered' implies r not in Cut' and (Stop.stage' != Ended or Stop.stage = Ended)
  r in Cut' implies Stop.stage' = Ended
}

fact traces {
  Stop.stage = Serving
  no unfinished[] + ended[]
  no Named + NamedBefore
  always {
    stop
    directory
    all r: Request | request[r]
  }
}

pred guarded {
  no WithoutAccepting + WithoutWaiting + WithoutLastAnswers + WithoutRefusing
  no WithoutPromptNews
}

assert neverCut { guarded implies always no Cut }

-- Once the unfinished were answered, nothing is passed on.
assert noneAfterTheLast { guarded implies always (Stop.stage in Ending + Ended implies no Passed) }

-- Who keeps an answer no longer than told finds the instance, or another.
assert noneTurnedOff { guarded implies always no TurnedOff }

check neverCut for 2 Request, 12..12 steps expect 0
check noneAfterTheLast for 2 Request, 12..12 steps expect 0
check noneTurnedOff for 1 Request, 12..12 steps expect 0

-- A client that kept an answer is served in the last step of accepting.
run servedLate {
  guarded
  eventually (Stop.stage = Leave3 and some Arriving' - Arriving and eventually some Answered)
} for 1 Request, 12..12 steps expect 1

-- The unfinished are answered before the end.
run unfinishedIsAnswered {
  guarded
  eventually (Stop.stage = Finish3 and some r: Passed | r in Answered' and Stop.stage' = Ending)
} for 1 Request, 12..12 steps expect 1

-- One that was still being read is refused as not run.
run lateUploadIsRefused {
  guarded
  eventually some Refused
} for 1 Request, 12..12 steps expect 1

-- Mutant: it takes no connections from the moment at which it is to stop.
run turnedOffWithoutAccepting {
  no WithoutWaiting + WithoutLastAnswers + WithoutRefusing + WithoutPromptNews
  some WithoutAccepting
  eventually some TurnedOff
} for 1 Request, 12..12 steps expect 1

-- Mutant: it does not wait for what is open.
run cutWithoutWaiting {
  no WithoutAccepting + WithoutLastAnswers + WithoutRefusing + WithoutPromptNews
  some WithoutWaiting
  eventually some Cut
} for 1 Request, 12..12 steps expect 1

-- Mutant: it does not answer the unfinished.
run cutWithoutLastAnswers {
  no WithoutAccepting + WithoutWaiting + WithoutRefusing + WithoutPromptNews
  some WithoutLastAnswers
  eventually some Cut
} for 1 Request, 12..12 steps expect 1

-- Mutant: a request that was read whole after the last answers is passed on.
run cutWithoutRefusing {
  no WithoutAccepting + WithoutWaiting + WithoutLastAnswers + WithoutPromptNews
  some WithoutRefusing
  eventually some Cut
} for 1 Request, 12..12 steps expect 1

-- Beyond what is tolerated: the directory is notified of the stop a step later still.
run turnedOffWithoutPromptNews {
  no WithoutAccepting + WithoutWaiting + WithoutLastAnswers + WithoutRefusing
  some WithoutPromptNews
  eventually some TurnedOff
} for 1 Request, 12..12 steps expect 1

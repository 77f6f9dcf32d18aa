Feature: Only events of its own run ever stand in a stream

  # Guards against the text or head of an error in the middle of a caller's stream, and against a
  # stream that ends as complete, because an answer was passed on as what follows in a stream.
  Scenario Outline: An answer that is no stream continues none
    Given a fleet of 2 routers with engines that play answers
    Then what is no stream never becomes a part of one <place>

    Examples:
      | place                                |
      | after a break                        |
      | before a third engine                |
      | beside a silent engine               |
      | after a move                         |
      | after a move before the first event  |
      | through a peer                       |
      | to a caller that takes the stream up |
      | to such a caller, after a break      |

  # Guards against the same where an engine writes an error into the stream that it has begun.
  Scenario: An error that an engine writes into its stream breaks it off
    Given a fleet of 2 routers with engines that play answers
    Then what an engine writes into its own stream never becomes a part of it

  # Guards against errors that are found only if they arrive in one piece, and against events that
  # are lost or come twice around them.
  Scenario: Errors inside drawn streams, in pieces of any size
    Then in 400 drawn streams, in pieces of any size, only whole events are passed on, in order

  # Guards against a check that refuses sound streams.
  Scenario: Sound streams of unusual form pass whole
    Given a fleet of 2 routers with engines that play answers
    Then sound streams of unusual form pass whole, and go on whole
    And a stream whose events have no ids passes whole, and goes on nowhere

  # Guards against streams that break off visibly although nothing is missing, because only their
  # end was lost.
  Scenario: A stream of which only the end was lost is complete
    Given a fleet of 2 routers with engines that play answers
    Then a stream that has all its tokens ends where no event follows
    And a stream ends early where two engines say that no event follows

  # Guards against streams that end as complete, or lack events, on the word of a connection's close,
  # of an engine that moved its run away, or of one that began anew and had less.
  Scenario: A stream ends only where its end is proved
    Given a fleet of 2 routers with engines that play answers
    Then streams break off where an attempt proves too little
    And a run that is moved and brings nothing has not ended
    And a caller whose engine ends before its position gets no whole answer

  # Guards against answers to the chat API that are complete after an error in their middle.
  Scenario: A chat that goes on with an error does not look complete
    Given a fleet of 2 routers with engines that play answers
    Then a chat that goes on with an error reports that it broke off

  # Guards against events that a caller has already, and that come again because its engine begins
  # anew: nobody skipped them, as in a stream that a router resumes.
  Scenario: A caller that takes a stream up receives no event again
    Given a fleet of 2 routers with engines that play answers
    Then a caller that takes a stream up has each event once

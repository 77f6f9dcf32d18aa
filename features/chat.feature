Feature: The product's own callers take the same way

  Background:
    Given a fleet of 2 routers

  Scenario: A chat completion, streamed and whole
    When a caller chats for 30 tokens, streamed
    Then it has the engine's whole answer
    When a caller chats for 30 tokens, in one piece
    Then it has the engine's whole answer

  Scenario: A service call
    When a caller calls the service "booking" with "seat 9"
    Then it has the answer "done:seat 9"

  Scenario Outline: What is wrong with a request is said
    When this is posted to "<path>"
      """
      <body>
      """
    Then the status is <status> and the reason holds "<reason>"

    Examples:
      | path                  | body                                   | status | reason          |
      | /v1/chat/completions  | {"model": "x", "messages": []}         | 400    | unknown_model   |
      | /v1/chat/completions  | {"model": "draft-7b", "messages": []}  | 400    | messages        |
      | /v1/chat/completions  | {"model": "draft-7b", "messages": [{"role": "user", "content": "a"}], "max_tokens": 99999} | 400 | max_tokens |
      | /v1/chat/completions  | {"model": "draft-7b", "messages": [{"role": "user", "content": "a"}], "work": "urgent"} | 400 | work |
      | /v1/chat/completions  | {"model": "draft-7b", "messages": [{"role": "user", "content": "a"}], "adapter": "z"} | 400 | unknown_adapter |
      | /v1/chat/completions  | {"model": "draft-7b", "messages": [{"role": "user", "content": "a"}], "request_id": "a b"} | 400 | request_id |
      | /v1/chat/completions  | not JSON                               | 400    | malformed       |
      | /v1/chat/completions  | [1, 2]                                 | 400    | malformed       |
      | /v1/services/no/such  | {"payload": "x"}                       | 404    | no_route        |
      | /v1/other             | {}                                     | 404    | no_such_path    |

  Scenario: Engines are killed under many chats
    When 12 callers chat for 60 tokens while an engine is killed
    Then each has the engine's whole answer or was told that it broke

  Scenario: A chat that may run only once
    When a caller chats once for 300 tokens and its engine is killed
    Then it is told that it broke and it ran once

  # Seen: a caller was told that its streamed answer was complete, with no text in it.
  # How: the engine had answered 500. Cause: an answer was told as a stream whatever
  # its status was. Proof: both ways of asking, of engines that answer nothing else.
  Scenario: What an engine fails is not told as a whole answer
    When all engines fail what they are asked
    And a caller chats for 30 tokens, streamed, and once only
    Then it is told that the engine failed

  # Seen: callers asked one router that was gone until their time was over, while two
  # others served. How: the one that had named the routers had just started and knew
  # of none but itself; then it ended. Cause: its answer took the place of all that
  # the caller had known. Proof: the others are there, and asked.
  Scenario: A caller that was named one router only goes back to those it knew
    When a caller is named one router only, which ends then
    Then the other router answers it


Feature: The chat API uses the same request path as the platform's API

  Background:
    Given a fleet of 2 routers

  Scenario: A chat completion is returned as a stream or in one response
    When a caller requests a streamed chat completion of 30 tokens
    Then the caller receives the complete answer of the engine
    When a caller requests a chat completion of 30 tokens in one response
    Then the caller receives the complete answer of the engine

  Scenario: A service call returns the answer of the service
    When a caller calls the service "booking" with "seat 9"
    Then the caller receives "done:seat 9"

  Scenario Outline: An invalid request is refused with a reason
    When this is posted to "<path>"
      """
      <body>
      """
    Then the status is <status> and the reason contains "<reason>"

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

  Scenario: An engine is killed during many chats
    When 12 callers request 60 tokens each while an engine is killed
    Then each caller receives the complete answer of the engine or an error

  Scenario: A non-idempotent chat is not retried
    When a caller sends a non-idempotent chat of 300 tokens and its engine is killed
    Then the caller gets an error and the request ran once

  # Guards against reporting a failed request as a complete empty stream: every
  # response of an engine was relayed as a stream, even one with status 500.
  Scenario: An error response of an engine is not relayed as a complete stream
    When all engines fail every request
    And a caller sends a non-idempotent chat of 30 tokens
    Then the caller is told that the engine failed

  # Guards against callers that use a stopped router until their deadlines although
  # other routers serve. A router that had just started knew only itself. Its list of
  # routers replaced all addresses that the caller knew, and then the router stopped.
  Scenario: A caller that is told of only one router falls back to its initial routers
    When a caller is told of only one router, which then stops
    Then the other router answers the caller

  # Guards against a retry that is taken for a first answer: what the caller had
  # received came again, or the call was complete without any of it. The caller
  # discarded its own text before each attempt, and had passed it on already.
  Scenario: A caller that retries a chat receives the text of one answer
    Then a caller whose first attempt brings "a b " receives
      | second attempt | text    | result         |
      | a b c          | a b c   | complete       |
      | a b            | a b     | complete       |
      | a c            | a b     | another_answer |
      | x              | a b     | another_answer |
      | a              | a b     | another_answer |
      |                | a b     | another_answer |
      | status 404     | a b     | no_route       |

Feature: An answer that was broken off never looks complete

  # Guards against streams that are broken off inside an event and reach their callers as complete:
  # the end of the connection was taken for the end of the answer.
  Scenario: Each way in which the answer of an engine ends reaches its caller
    Given a fleet of 1 routers with one scripted engine
    Then streams that may not be resumed end as follows at callers of HTTP/1.1 and HTTP/1.0
      | framing    | until                    | end     | 1.1         | 1.0         |
      | length     | the last event           | orderly | complete    | until close |
      | length     | inside an event          | close   | broken      | broken      |
      | length     | after an event           | close   | broken      | broken      |
      | length     | the last event           | reset   | complete    | until close |
      | chunks     | the last event           | orderly | complete    | until close |
      | chunks     | the last event           | close   | broken      | broken      |
      | chunks     | inside an event          | close   | broken      | broken      |
      | chunks     | inside an event          | orderly | broken      | broken      |
      | chunks     | before the last line     | orderly | broken      | broken      |
      | chunks     | after an event           | reset   | broken      | broken      |
      | chunks     | after an event           | silence | broken      | broken      |
      | chunks     | before the first event   | close   | 502         | 502         |
      | connection | the last event           | orderly | until close | until close |
      | connection | after an event           | reset   | broken      | broken      |
      | connection | inside an event          | close   | broken      | broken      |
      | connection | inside an event          | reset   | broken      | broken      |
      | connection | inside an event          | silence | broken      | broken      |
      | connection | before the last line     | close   | broken      | broken      |
      | connection | inside the first event   | close   | 502         | 502         |
      | connection | before the first event   | close   | 502         | 502         |
      | connection | before the first event   | reset   | 502         | 502         |
    And what was not broken off is passed on byte by byte

  # Guards against streams that are counted as successes though their end shows that they broke off:
  # requests that crash engines were sent again without a limit.
  Scenario: A stream that is broken off inside an event counts as a crash of its engine
    Given a fleet of 1 routers with one scripted engine
    When a stream ends inside an event
    Then its request is suspected of a crash

  # Guards against answers that look complete because the router that sent them was killed.
  Scenario Outline: An answer without a frame is reset where its router stops
    Given a fleet of 1 routers with one scripted engine
    When a router stops in the middle of a "<framing>" stream to a caller of HTTP/<version>
    Then the answer is broken

    Examples:
      | framing    | version |
      | connection | 1.1     |
      | connection | 1.0     |
      | chunks     | 1.1     |
      | chunks     | 1.0     |

  # Guards against a stream whose end no upstream has stated and that still looks complete,
  # because it was resumed there after a part with chunks.
  Scenario: A stream that is broken off inside an event goes on at another engine
    Given a fleet of 1 routers with 4 scripted engines
    Then streams that may be resumed end as follows
      | first attempt                          | second attempt               | third attempt                | result      |
      | connection, inside an event, close     | chunks, the last event, orderly |                           | until close |
      | connection, before the last line, close | connection, the last event, orderly |                       | until close |
      | connection, before the first event, close | chunks, the last event, orderly |                        | complete    |
      | chunks, inside an event, close         | chunks, the last event, orderly |                           | complete    |
      | chunks, inside an event, close         | connection, inside an event, close | chunks, the last event, orderly | complete |
      | chunks, inside an event, close         | connection, the last event, orderly | chunks, the last event, orderly | complete |
      | chunks, inside an event, close         | connection, the last event, orderly | connection, the last event, orderly | broken |
      | chunks, before the last line, close    | connection, the last event, orderly | length, the last event, orderly | complete |
    And each of them holds each event once

  # Guards against heads, trailers and answers of calls that are taken for whole where their
  # connection was closed inside them.
  Scenario: The close of a connection ends no head, no chunks and no empty answer
    Given a fleet of 1 routers with one scripted upstream
    Then answers that are cut as follows are no answers
      | cut                            |
      | inside the status line         |
      | inside the headers             |
      | inside an interim response     |
      | before the blank line          |
      | inside the size of a chunk     |
      | inside the trailer             |
      | before the end of the trailer  |
    And a call whose answer has neither a length nor a body has failed

  # Guards against chat answers that end with [DONE] or with a length although no engine or service
  # has stated their end.
  Scenario: The chat API states no end that it does not know
    Given a fleet of 1 routers with 4 scripted engines
    Then chats end as follows
      | first attempt                       | second attempt                      | result |
      | connection, the last event, orderly | chunks, the last event, orderly     | done   |
      | connection, the last event, orderly | connection, the last event, orderly | error  |
      | connection, inside an event, close  | chunks, the last event, orderly     | done   |
    And an answer of a service that ends with its connection has no length

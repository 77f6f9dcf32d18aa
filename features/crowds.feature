Feature: Clients that do not behave, many at once

  # Each row guards against a router that such clients end or block: it ran out of memory or of
  # descriptors, or spent all its time on them. Memory counts what has arrived and is not read yet.
  Scenario Outline: A router survives <crowd>
    Given a router process that may use <memory> MB and <descriptors> descriptors
    When <clients> clients of the kind "<kind>" press on its server "<server>", and requests take <work> ms
    Then the process runs within its memory and its descriptors
    And ordinary callers are answered beside the crowd and after it

    Examples:
      | crowd                                           | kind          | server    | clients | memory | descriptors | work |
      | bodies in large chunks short of their end       | large-chunks  | callers   | 160     | 160    | 1024        | 20   |
      | bodies in one chunk short of their end          | one-chunk     | callers   | 160     | 160    | 1024        | 20   |
      | bodies of a stated length short of their end    | length        | callers   | 160     | 160    | 1024        | 20   |
      | bodies in small chunks short of their end       | small-chunks  | callers   | 24      | 160    | 1024        | 20   |
      | whole bodies while requests take long           | whole-bodies  | callers   | 160     | 160    | 1024        | 3000 |
      | callers that read no answers                    | whole-bodies  | callers   | 160     | 160    | 1024        | 20   |
      | heads of empty headers without end              | heads         | callers   | 400     | 160    | 1024        | 20   |
      | whole heads of empty headers                    | whole-heads   | callers   | 160     | 160    | 1024        | 3000 |
      | trailers without end                            | trailers      | callers   | 16      | 160    | 1024        | 20   |
      | chunk extensions without end                    | extensions    | callers   | 48      | 160    | 1024        | 20   |
      | silent connections while descriptors are short  | silent        | callers   | 300     | 160    | 128         | 20   |
      | bodies while descriptors are short              | length        | callers   | 300     | 160    | 128         | 20   |
      | silent connections for readiness                | silent        | ready     | 300     | 160    | 128         | 20   |
      | large bodies for the directory                  | overlong      | directory | 160     | 160    | 1024        | 20   |
      | bodies at the port for peers                    | large-chunks  | peers     | 160     | 160    | 1024        | 20   |
      | bodies at the chat API                          | large-chunks  | chat      | 160     | 160    | 1024        | 20   |
      | ids, hosts, keys and prompts that all differ    | different     | callers   | 30      | 160    | 1024        | 20   |
      | bodies announced far over the limit             | announced     | callers   | 400     | 160    | 1024        | 20   |
      | bodies far over the limit in chunks             | overlong      | callers   | 300     | 160    | 1024        | 20   |
      | thousands of pipelined requests                 | pipelined     | callers   | 300     | 160    | 1024        | 3000 |
      | hundreds of bodies short of their end           | large-chunks  | callers   | 600     | 160    | 4100        | 20   |
      | hundreds of whole bodies                        | whole-bodies  | callers   | 600     | 160    | 4100        | 3000 |
      | bodies that go on by single bytes               | trickle       | callers   | 160     | 160    | 1024        | 20   |
      | requests that wait to send their bodies         | continue      | callers   | 300     | 160    | 1024        | 20   |
      | callers that read no streams                    | streams       | callers   | 160     | 160    | 1024        | 20   |
      | callers that read no large answers              | large-answers | callers   | 400     | 160    | 1024        | 20   |
      | callers that read large answers slowly          | slow-readers  | callers   | 400     | 160    | 1024        | 20   |
      | chat callers that read no large answers         | chat-answers  | chat      | 400     | 160    | 1024        | 20   |
      | bodies that peers forward                       | forwarded     | peers     | 160     | 160    | 1024        | 3000 |
      | hundreds of callers that read no streams        | streams       | callers   | 400     | 160    | 1024        | 20   |
      | silent connections for gRPC                     | silent        | rpc       | 300     | 160    | 128         | 20   |

  # Guards against streams of which each keeps what it has received of an event, up to a limit of its own:
  # all together took the memory of the process, and with it the requests of all other callers.
  Scenario Outline: A router survives streams of <what>
    Given a router process that may use 160 MB and 1024 descriptors
    When <clients> clients take streams of "<what>" of <size> KiB
    Then the process runs within its memory and its descriptors
    And ordinary callers are answered beside the crowd and after it

    Examples: 0 KiB for a stream without end
      | what                    | size | clients |
      | an event                | 0    | 400     |
      | an event                | 960  | 400     |
      | an event after an event | 960  | 400     |
      | an event of short lines | 960  | 400     |
      | short comment lines     | 960  | 400     |
      | short comments          | 960  | 400     |
      | blank lines             | 960  | 400     |

  # Guards against state that connections leave behind when they end early.
  Scenario: A router survives clients that connect again and again
    Given a router process that may use 160 MB and 1024 descriptors
    When 50 clients connect 20 times each and send heads without end
    Then the process runs within its memory and its descriptors
    And ordinary callers are answered beside the crowd and after it

  # Guards against what a change of the limits, or an upstream that leaves, does beside a crowd: requests
  # move and are sent again while others hold the memory.
  Scenario Outline: A router survives <crowd> beside a reclaim and a change of the limits
    Given a router process that may use 160 MB and 1024 descriptors
    When 160 clients of the kind "<kind>" press on it beside a reclaim and a change of the limits
    Then the process runs within its memory and its descriptors
    And ordinary callers are answered beside the crowd and after it

    Examples:
      | crowd          | kind          |
      | whole bodies   | whole-bodies  |
      | large answers  | large-answers |
      | unread streams | streams       |

  # Guards against a planned stop that waits for clients, or that they keep from its turn.
  Scenario Outline: A router stops as planned beside <crowd>
    Given a router process that may use 1000 MB and 1024 descriptors
    When <clients> clients of the kind "<kind>" press on it, and it is stopped
    Then the process ends by itself

    Examples:
      | crowd                   | kind         | clients |
      | bodies in large chunks  | large-chunks | 160     |
      | bodies in small chunks  | small-chunks | 24      |
      | trailers without end    | trailers     | 16      |

  # Guards against refusals that operators can't see, and against a line for each of them.
  Scenario: What is refused and closed for overload is counted and logged in bounds
    Given a router process that may use 160 MB and 128 descriptors
    When 300 clients of the kind "length" press on its server "callers", and requests take 20 ms
    Then its metrics count connections closed for others, and memory below the budget
    And its log has at most one line "overload" a second

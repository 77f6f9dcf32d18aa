Feature: Connections of a server are limited, and those in use are kept

  Background:
    Given a server for 4 connections whose requests take 400 ms

  # Guards against clients that connect and send nothing: they kept all others away.
  Scenario: The connection that has waited longest is closed for a new one
    When 4 clients connect, and one after the other sends a request
    And another client sends a request
    Then it is answered with 200
    And only the first of the clients is disconnected

  # Guards against bodies that never end, on all connections.
  Scenario: The request that is read for the longest time is closed for a new one
    When 4 clients send a part of a body
    And another client sends a request
    Then it is answered with 200
    And only the first of the clients is disconnected

  # Guards against answers that are cut for others.
  Scenario: A connection whose request runs is kept, and a new one is refused
    When 4 clients send a request that runs
    And another client sends a request
    Then it is answered with 503 and a retry time
    And all 4 clients are answered with 200

  # Guards against clients that hold all connections with streams that they don't read: the kernel's
  # buffers take in the events for minutes. One that reads slowly keeps its stream.
  Scenario: A client that reads nothing of its stream is closed for a new one
    When 4 clients ask for streams, and the first one does not read
    And other clients send requests until one is answered
    Then only the first of the streams has ended

  # Guards against a server that accepts nothing any more after one error.
  Scenario Outline: A server goes on to accept after errors of accept
    When accept fails 3 times with <error>
    And another client sends a request
    Then it is answered with 200

    Examples:
      | error        |
      | EMFILE       |
      | ENFILE       |
      | ENOBUFS      |
      | ECONNABORTED |
      | EPERM        |

  # Guards against requests that run although their connection was closed for others in the same moment:
  # their callers never get the answer.
  Scenario Outline: A request whose end arrives as its connection is closed does not run
    When a client has sent <before>, and the rest as its connection is closed for others
    Then nothing has run

    Examples:
      | before            |
      | a part of a head  |
      | a part of a body  |

  # Guards against a descriptor that is watched after it was closed: what waited for the next connection
  # with its number was not told that it could be read.
  Scenario Outline: The watch of a connection ends with its request, also if <end>
    When a request whose connection is watched runs, and <end>
    Then the descriptor of its connection is not watched

    Examples:
      | end               |
      | its handler fails |
      | its server stops  |

  # Guards against a server that is left out: its clients took the descriptors of all others.
  Scenario: The servers of a router together keep to the descriptors
    Given a router with the chat API that may use 1000 descriptors
    Then its servers together may have at most 600 connections

  # Guards against kernel memory for answers that wait for memory: it grows to megabytes by default.
  Scenario: Connections to upstreams and peers have small receive buffers
    Given a router with the chat API that may use 1000 descriptors
    Then its connections to upstreams and peers take in at most 65536 bytes that it has not read

Feature: An answer whose head is cut short is no answer

  # Guards against a 200 with an empty or short body that looks whole: the upstream stopped in the middle
  # of its head and closed, and the end of the connection was taken for that of the head.
  Scenario Outline: A head that is cut at any byte reaches no caller as an answer
    Given a fleet of <routers> routers, and an upstream that cuts its heads
    When <way> are sent, and the head is cut at each byte, after <before>
    Then no caller gets a success, and all get an answer or a broken connection

    Examples:
      | routers | way                            | before               |
      | 1       | requests that may run once     | nothing              |
      | 1       | idempotent requests            | nothing              |
      | 1       | HEAD requests                  | nothing              |
      | 1       | streams                        | nothing              |
      | 1       | streams that are taken up      | nothing              |
      | 1       | requests that may run once     | an interim response  |
      | 1       | streams                        | an interim response  |
      | 2       | requests through a peer        | nothing              |
      | 2       | streams through a peer         | nothing              |
      | 2       | streams through a peer         | an interim response  |

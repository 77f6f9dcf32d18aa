Feature: An answer is found where it should be on a connection

  # Guards against bodies after HEAD, 204 and 304: they were read as the beginning of the next answer on
  # the connection, whose request had run (review/4).
  Scenario: Pipelined answers of any method and status are read by a strict parser
    Given a server whose applications answer with a body always
    Then in 60 random series of pipelined requests each answer is whole, and has a body only where HTTP has one

  Scenario Outline: The servers of a router send no body after HEAD, <what>
    Given a fleet of 1 routers
    When a caller sends HEAD <target> with the key "<key>" and GET <target> to its server "<server>", on one connection
    Then both answers are read by a strict parser, with the status <status>, and only the second one has a body

    Examples:
      | what                     | server            | target      | key      | status |
      | for an unknown key       | address           | /pages/a    | taken    | 401    |
      | for an unknown route     | address           | /unknown    | key-noor | 404    |
      | of the chat API          | chat_address      | /v1/nothing | key-noor | 404    |
      | of the directory         | directory_address | /nothing    | key-noor | 404    |
      | of readiness             | ready_address     | /nothing    | key-noor | 404    |
      | for an upstream's answer | address           | /pages/a    | key-noor | 200    |

Feature: Silence ends no answer that its upstream could still bring

  # Guards against answers that were reset beside a planned stop: all upstreams were silent for a
  # second, and the attempt of a stream was ended before it was known that another one could follow.
  Scenario Outline: An answer whose upstream is silent for a while comes whole while <obstacle>
    Given a fleet of 1 routers with two scripted upstreams that count as silent after 400 ms
    When an upstream is silent for 1200 ms <place> while <obstacle>
    Then the answer is whole, and its first upstream has brought it

    Examples:
      | place                       | obstacle                                              |
      | in the middle of a stream   | no retry is left                                      |
      | in the middle of a stream   | the other upstream is silent too                      |
      | in the middle of a stream   | the other upstream refuses                            |
      | in the middle of a stream   | the other upstream is closed after its head           |
      | in the middle of a stream   | the other upstream can't be connected to              |
      | in the middle of a stream   | the other upstream has another version                |
      | before the head of a stream | no retry is left                                      |
      | before the head of a stream | the other upstream is silent too                      |
      | before the head of a stream | the other upstream refuses                            |
      | before the head of a stream | the other upstream is closed after its head           |
      | before the head of a stream | the other upstream can't be connected to              |
      | before the head of a page   | no retry is left                                      |
      | before the head of a page   | the other upstream is silent too                      |
      | before the head of a page   | the other upstream refuses                            |

  # Guards against waiting for an upstream that is lost while another one could bring the answer.
  Scenario Outline: An answer goes on elsewhere if its upstream stays silent <place>
    Given a fleet of 1 routers with two scripted upstreams that count as silent after 400 ms
    When an upstream is silent for 6000 ms <place> while the other upstream answers
    Then the answer is whole after less than 3000 ms, and the other upstream has ended it

    Examples:
      | place                       |
      | in the middle of a stream   |
      | before the head of a stream |
      | before the head of a page   |

  # Guards against two runs of one stream side by side for longer than an upstream needs to notice.
  Scenario: The silent attempt is closed as soon as another one has brought an event
    Given a fleet of 1 routers with two scripted upstreams that count as silent after 400 ms
    When an upstream is silent for 1200 ms in the middle of a stream while the other upstream answers
    Then the silent upstream was closed within 200 ms of the first event of the other one

  # Guards against streams that are lost with an announced leave: the call to move a run was given
  # up after a second of silence, the run stopped all the same, and its copy was unknown.
  Scenario: A stream is moved although its upstream is silent when it is asked to
    Given a fleet of 1 routers with two scripted upstreams that count as silent after 400 ms
    When the upstream of a stream that may not be resumed leaves, and is silent for 1600 ms when it is to move the stream
    Then the answer is whole after less than 6000 ms, and the other upstream has ended it

  # Guards against answers that end for silence, are joined, or come twice, in any mix of upstreams.
  Scenario: Random silences of upstreams end no answer
    Then in 40 drawn worlds each answer of an upstream that goes on is whole

"""Messages that the decision classes handle and actions they return."""

from celerywharf.generations.messages._actions import (
    CancelAttempt,
    ChooseReplica,
    Deliver,
    Fail,
    PauseAttempt,
    Reattach,
    Replicate,
    ResumeAttempt,
    StartAttempt,
    Stop,
)
from celerywharf.generations.messages._attempts import (
    AttemptFailed,
    AttemptPlaced,
    AttemptRefused,
    EndArrived,
    TokensArrived,
)
from celerywharf.generations.messages._callers import (
    Begin,
    CallerAttached,
    CallersGone,
    CallersReady,
    CallersSlow,
    TakenOver,
    Tick,
)
from celerywharf.generations.messages._replicas import (
    NewerOwner,
    NoReplica,
    ReplicaLost,
    ReplicaStored,
)

Message = (
    TokensArrived
    | EndArrived
    | AttemptPlaced
    | AttemptFailed
    | AttemptRefused
    | Begin
    | TakenOver
    | CallerAttached
    | CallersGone
    | CallersSlow
    | CallersReady
    | Tick
    | ReplicaStored
    | ReplicaLost
    | NoReplica
    | NewerOwner
)
Action = (
    StartAttempt
    | Reattach
    | CancelAttempt
    | PauseAttempt
    | ResumeAttempt
    | ChooseReplica
    | Replicate
    | Deliver
    | Fail
    | Stop
)

__all__ = (
    'Action',
    'AttemptFailed',
    'AttemptPlaced',
    'AttemptRefused',
    'Begin',
    'CallerAttached',
    'CallersGone',
    'CallersReady',
    'CallersSlow',
    'CancelAttempt',
    'ChooseReplica',
    'Deliver',
    'EndArrived',
    'Fail',
    'Message',
    'NewerOwner',
    'NoReplica',
    'PauseAttempt',
    'Reattach',
    'ReplicaLost',
    'ReplicaStored',
    'Replicate',
    'ResumeAttempt',
    'StartAttempt',
    'Stop',
    'TakenOver',
    'Tick',
    'TokensArrived',
)

//! Stand-in for the platform: table service, object store and VM list, with faults to order.
//!
//! [`TableModel`], [`ObjectModel`] and [`VmListModel`] are the state, [`FaultPlan`] decides what goes
//! wrong; none of them does I/O or reads a clock, so tests in virtual time use them as they are.
//! [`PlatformFake`] puts them behind HTTP on one port.
//!
//! Beside the calls of the protocol, the port takes orders that need no key and meet no faults:
//!
//! | call | meaning |
//! | --- | --- |
//! | `POST /faults` `{"down":true}` | answers 503 to everything |
//! | `POST /faults` `{"slow_ms":900}` | carries out calls late; writes also when their caller left |
//! | `POST /faults` `{"lose_answers":{"share":0.3,"seed":7}}` | loses the answers to a share of the writes |
//! | `POST /faults` `{"lose_next_answers":1}` | loses the answers to the next writes |
//! | `POST /faults` `{"refuse_writes_per_s":100}` | answers 429 to writes above the rate |
//! | `POST /faults` `{"limit_reads_per_s":500}` | answers 429 to reads above the rate |
//! | `POST /faults` `{"silent":true}` | accepts calls and never answers them |
//! | `POST /faults` `{"silence_open_connections":true}` | open connections go silent for good, new ones work |
//! | `POST /faults` `{"clear":true}` | takes every fault back; may be joined with new ones |
//! | `POST /vms` `{"live":["vm-1"],"leaving":[],"lag_ms":5000}` | changes the VM list, shown after the lag |
//! | `GET /records` | counts since the start, see [`Records`] |

mod calls;
mod connections;
mod faults;
mod handle;
mod objects;
mod records;
mod server;
mod state;
mod table;
mod vms;

pub use self::{
    faults::{CallKind, FaultOrder, FaultPlan, LoseAnswers, Verdict},
    handle::{PlatformFake, PlatformFakeError},
    objects::ObjectModel,
    records::Records,
    table::{Condition, Operation, Row, TableAnswer, TableModel, Write},
    vms::{VmListModel, VmNames},
};

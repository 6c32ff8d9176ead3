//! Task dispatch: admission, queues, and the choice of an upstream for each task.

mod admission;
mod agents;
mod answers;
mod attempts;
mod budget;
mod counters;
mod dispatcher;
mod health;
mod hedges;
mod lanes;
mod policy;
mod pool;
mod queue;
mod quota;
mod settings;
mod speed;
mod starts;
mod status;
mod submissions;
mod sweep;
mod work;

pub use counters::DispatchCounters;
pub use dispatcher::Dispatcher;
pub use policy::Policy;
pub use settings::DispatchSettings;
pub use status::{AgentStatus, DispatchStatus, ServiceStatus};
pub use work::{Step, Work};

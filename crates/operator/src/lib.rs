//! The operators' library: builds a configuration and prints it.
//!
//! ```
//! use coltsfootshunt_operator::{Configuration, Kind, Target, Team};
//!
//! let printed = Configuration::new()
//!     .team(Team::new("riga").share(2))
//!     .kind(Kind::new("stand-hold", 80).non_idempotent())
//!     .target(Target::new("booking-1", "north", "127.0.0.1:9001".parse().unwrap()).slots(8))
//!     .print()
//!     .unwrap();
//! assert!(printed.contains("stand-hold"));
//! ```

mod configuration;
mod part;

pub use coltsfootshunt_core::config::{Config, Error};
pub use configuration::Configuration;
pub use part::{Kind, Target, Team};

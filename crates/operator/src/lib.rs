//! Library for operators: builds a configuration and writes it as JSON.
//!
//! ```
//! use coltsfootshunt_operator::{Configuration, Kind, Target, Team};
//!
//! let printed = Configuration::new()
//!     .team(Team::new("riga").share(2))
//!     .kind(Kind::new("stand-hold", 80).non_idempotent())
//!     .target(Target::new("booking-1", "north", "127.0.0.1:9001".parse().unwrap()).slots(8))
//!     .into_json()
//!     .unwrap();
//! assert!(printed.contains("stand-hold"));
//! ```

mod configuration;
mod definition;

pub use coltsfootshunt_core::config::{Config, Error};
pub use configuration::Configuration;
pub use definition::{Kind, Target, Team};

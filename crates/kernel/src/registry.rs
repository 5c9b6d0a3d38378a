//! Registry of the services of a process, which find each other by name.

use std::{
    any::Any,
    collections::HashMap,
    sync::{Arc, RwLock},
};

use derive_more::{Display, Error};
use xtra::{Actor, Address};

/// Name of a service, unique within a process.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub struct ServiceName(pub &'static str);

/// Failure to register or find a service.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum RegistryError {
    /// A service with this name is already registered.
    #[display("service {_0} is already registered")]
    AlreadyRegistered(#[error(not(source))] ServiceName),
    /// No service with this name is registered.
    #[display("service {_0} is not registered")]
    NotRegistered(#[error(not(source))] ServiceName),
    /// The service with this name has another type.
    #[display("service {_0} has another type")]
    WrongType(#[error(not(source))] ServiceName),
}

type ServiceMap = HashMap<ServiceName, Box<dyn Any + Send + Sync>>;

/// The services of one process. Clones share their contents.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    services: Arc<RwLock<ServiceMap>>,
}

impl ServiceRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::AlreadyRegistered`] if a service with this name is registered.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned. No code panics while it holds the lock.
    pub fn register<A: Actor>(
        &self,
        name: ServiceName,
        address: Address<A>,
    ) -> Result<(), RegistryError> {
        let mut services = self.services.write().expect("registry lock is never poisoned");
        if services.contains_key(&name) {
            return Err(RegistryError::AlreadyRegistered(name));
        }
        services.insert(name, Box::new(address));
        Ok(())
    }

    /// Finds a service by name and type.
    ///
    /// # Errors
    ///
    /// Returns [`RegistryError::NotRegistered`] if no service has this name, and
    /// [`RegistryError::WrongType`] if it is of another type.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned. No code panics while it holds the lock.
    pub fn find<A: Actor>(&self, name: ServiceName) -> Result<Address<A>, RegistryError> {
        let services = self.services.read().expect("registry lock is never poisoned");
        let service = services.get(&name).ok_or(RegistryError::NotRegistered(name))?;
        let address = service.downcast_ref::<Address<A>>();
        address.cloned().ok_or(RegistryError::WrongType(name))
    }

    /// Removes all services. A service with no other address in use then stops.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned. No code panics while it holds the lock.
    pub fn clear(&self) {
        self.services.write().expect("registry lock is never poisoned").clear();
    }
}

//! Services that find each other by name.

use std::{
    any::Any,
    collections::HashMap,
    sync::{Arc, RwLock},
};

use derive_more::{Display, Error};
use xtra::{Actor, Address};

/// Name of a service within a process.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub struct ServiceName(pub &'static str);

/// Why a service was not registered or found.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum RegistryError {
    /// The name is taken.
    #[display("service {_0} is registered already")]
    AlreadyRegistered(#[error(not(source))] ServiceName),
    /// No service has the name.
    #[display("service {_0} is not registered")]
    NotRegistered(#[error(not(source))] ServiceName),
    /// The service of that name is of another type.
    #[display("service {_0} is of another type")]
    WrongType(#[error(not(source))] ServiceName),
}

type ServiceMap = HashMap<ServiceName, Box<dyn Any + Send + Sync>>;

/// The services of one process.
#[derive(Clone, Default)]
pub struct ServiceRegistry {
    services: Arc<RwLock<ServiceMap>>,
}

impl ServiceRegistry {
    /// Makes an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name.
    ///
    /// # Errors
    ///
    /// Fails with [`RegistryError::AlreadyRegistered`] where the name has a service.
    ///
    /// # Panics
    ///
    /// Panics where another thread panicked inside the registry, which it never does.
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
    /// Fails with [`RegistryError::NotRegistered`] or [`RegistryError::WrongType`].
    ///
    /// # Panics
    ///
    /// Panics where another thread panicked inside the registry, which it never does.
    pub fn find<A: Actor>(&self, name: ServiceName) -> Result<Address<A>, RegistryError> {
        let services = self.services.read().expect("registry lock is never poisoned");
        let service = services.get(&name).ok_or(RegistryError::NotRegistered(name))?;
        let address = service.downcast_ref::<Address<A>>();
        address.cloned().ok_or(RegistryError::WrongType(name))
    }

    /// Forgets all services, which stops those that nobody else holds.
    ///
    /// # Panics
    ///
    /// Panics where another thread panicked inside the registry, which it never does.
    pub fn clear(&self) {
        self.services.write().expect("registry lock is never poisoned").clear();
    }
}

package owner

// LeaseExpiryMargin is how long after the end of a lease that it has granted an owner may start the tasks of a lost executor elsewhere.
const LeaseExpiryMargin = executorLeaseExpiry - ExecutorLeaseDuration

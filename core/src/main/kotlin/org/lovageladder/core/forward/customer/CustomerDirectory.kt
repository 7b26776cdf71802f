package org.lovageladder.core.forward.customer

/** The customers of one configuration version by their keys. A key belongs to the first customer that has it. */
public class CustomerDirectory(customers: List<Pair<Customer, List<CustomerKey>>>) {
    private val customersByKey = HashMap<CustomerKey, Customer>()
    private val quotasByName = HashMap<CustomerName, CustomerQuota>()

    /** Number of customers, those without a key included. */
    public val customerCount: Int = customers.size

    /** Number of different keys. */
    public val keyCount: Int get() = customersByKey.size

    init {
        customers.forEach { (customer, keys) -> keys.forEach { customersByKey.putIfAbsent(it, customer) } }
        customers.forEach { (customer) -> customer.quota?.let { quotasByName.putIfAbsent(customer.name, it) } }
    }

    /** The customer to which [key] belongs; null when no customer has it. */
    public fun find(key: CustomerKey): Customer? = customersByKey[key]

    /** The quota of the customer [name]; null when it has none, or is not known. */
    public fun quotaOf(name: CustomerName): CustomerQuota? = quotasByName[name]
}

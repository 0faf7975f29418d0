/**
 * The operators' HTTP/1.1 endpoint: whether this process takes clients, and moving them elsewhere and back.
 * {@link loadbalancer.admin.AdminServer} does the I/O, {@code AdminRoutes} decides what a request is answered, and
 * whoever composes the process carries it out behind {@link loadbalancer.admin.AdminOperations}.
 */
package loadbalancer.admin;

/**
 * The HTTP/1.1 interface for operators: readiness, and moving the clients to other processes and back.
 * {@link loadbalancer.admin.AdminServer} does the I/O, {@code AdminRoutes} selects the operation and the response, and
 * an implementation of {@link loadbalancer.admin.AdminOperations} carries out the operations.
 */
package loadbalancer.admin;

/** Errors after which the process must not go on. Used by all packages that handle events. */
package gladeknot.errors;
